#ifndef HEADER_PeerAge
#define HEADER_PeerAge
/**
 * DOC: PeerAge
 *
 * Converts times to ages and back for messages between routers, whose clocks
 * differ. The receiver adds the longest transit time of a message, so that an
 * age that is forwarded only grows.
 */
#include <glib.h>

/** Longest transit time of a message between routers */
#define PEER_TRANSIT_MAX_MS 50

/** PeerAge_of() - age in ms of a monotonic time, for a message */
guint32 PeerAge_of(gint64 at_ms);

/** PeerAge_atMs() - monotonic time for an age in ms from a message that was
 * just received */
gint64 PeerAge_atMs(guint32 age_ms);

#endif
