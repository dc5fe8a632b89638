#include "PeerAge.h"

#include "Clock.h"

/* What a message is on its way at the most. */
#define TRANSIT_MS 50

guint32
PeerAge_of(gint64 at_ms)
{
    return (guint32)MAX(Clock_nowMs() - at_ms, 0);
}

gint64
PeerAge_atMs(guint32 age_ms)
{
    return Clock_nowMs() - age_ms - TRANSIT_MS;
}
