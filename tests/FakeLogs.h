#ifndef HEADER_FakeLogs
#define HEADER_FakeLogs
/**
 * DOC: FakeLogs
 *
 * A log on the loop of a test, with a client for each of several routers. Its
 * answers take some time; it can come back older, be away, drop old records,
 * lose answers, and carry out appends late.
 */
#include <event2/event.h>

#include "LogClient.h"
#include "StoreEpoch.h"

/** struct FakeLog_t - opaque; one stream, whatever its name */
typedef struct FakeLog FakeLog_t;

/** FakeLog_create() - an empty log; draws come from the seed */
FakeLog_t *FakeLog_create(struct event_base *base, guint32 seed);

/** FakeLog_destroy() - free it, after its clients */
void FakeLog_destroy(FakeLog_t *this);

/** FakeLog_setFaults() - of 100 appends, so many lose their answer and half
 * as many are carried out late */
void FakeLog_setFaults(FakeLog_t *this, guint percent);

/** FakeLog_setAway() - whether all calls fail */
void FakeLog_setAway(FakeLog_t *this, gboolean away);

/** FakeLog_length() - offset that the next record gets */
guint64 FakeLog_length(const FakeLog_t *this);

/** FakeLog_comeBackOlder() - records from an offset on are gone */
void FakeLog_comeBackOlder(FakeLog_t *this, guint64 length);

/** FakeLog_expire() - records before an offset are gone */
void FakeLog_expire(FakeLog_t *this, guint64 start);

/**
 * FakeLog_connect() - a client of it
 * @epoch: that the client's router knows
 */
LogClient_t *FakeLog_connect(FakeLog_t *this, StoreEpoch_t *epoch);

/** FakeLog_setCut() - no call of this client is answered for so long */
void FakeLog_setCut(LogClient_t *client, gint64 ms);

#endif
