#ifndef HEADER_PeerAge
#define HEADER_PeerAge
/**
 * DOC: PeerAge
 *
 * Converts times to ages and back for messages between routers, whose clocks
 * differ. The receiver adds the longest time that the message may have spent
 * in transit (LinkClock.h), so that an age that is forwarded only grows, and
 * is never too small because a message waited on its way.
 */
#include <glib.h>

/** Least transit time in ms that is assumed. The time of a message of an
 * earlier build, which does not say when it was sent, is not known */
#define PEER_TRANSIT_MIN_MS 50

/** PeerAge_of() - age in ms of a monotonic time, for a message */
guint32 PeerAge_of(gint64 at_ms);

/**
 * PeerAge_atMs() - monotonic time for an age in ms from a message that is
 * being handled
 * @transit_ms: longest time since the message was sent; 0 if it is not known
 */
gint64 PeerAge_atMs(guint32 age_ms, gint64 transit_ms);

#endif
