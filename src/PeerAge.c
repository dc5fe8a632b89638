#include "PeerAge.h"

#include "Clock.h"

guint32
PeerAge_of(gint64 at_ms)
{
    return (guint32)MAX(Clock_nowMs() - at_ms, 0);
}

gint64
PeerAge_atMs(guint32 age_ms, gint64 transit_ms)
{
    return Clock_nowMs() - age_ms - MAX(transit_ms, PEER_TRANSIT_MIN_MS);
}
