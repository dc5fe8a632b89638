#ifndef HEADER_PeerAge
#define HEADER_PeerAge
/**
 * DOC: PeerAge
 *
 * How routers tell each other when something was known: as an age, as their
 * clocks differ. What a message is on its way at the most is added to it, so
 * that an age that is passed on only grows.
 */
#include <glib.h>

/** What a message is on its way at the most, in ms */
#define PEER_TRANSIT_MS 50

/** PeerAge_of() - the age to tell of a monotonic time, in ms */
guint32 PeerAge_of(gint64 at_ms);

/** PeerAge_atMs() - the monotonic time that an age in ms is counted from,
 * which is told in a message that has just come */
gint64 PeerAge_atMs(guint32 age_ms);

#endif
