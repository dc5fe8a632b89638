#ifndef HEADER_FakeLogs
#define HEADER_FakeLogs
/**
 * DOC: FakeLogs
 *
 * Fake log on the event loop of a test, with a client for each of several
 * routers. It delays answers, and can come back older, be unavailable, expire
 * old records, lose answers and carry out appends late.
 */
#include <event2/event.h>

#include "LogClient.h"
#include "StoreEpoch.h"

/** struct FakeLog_t - opaque; all stream names mean the same stream */
typedef struct FakeLog FakeLog_t;

/** FakeLog_create() - create an empty log; @seed determines all random
 * draws */
FakeLog_t *FakeLog_create(struct event_base *base, guint32 seed);

/** FakeLog_destroy() - free the log; its clients must be freed first */
void FakeLog_destroy(FakeLog_t *this);

/** FakeLog_setFaults() - let @percent of the appends time out; half of these
 * are carried out late, the others at once */
void FakeLog_setFaults(FakeLog_t *this, guint percent);

/** FakeLog_setUnavailable() - set whether all calls fail */
void FakeLog_setUnavailable(FakeLog_t *this, gboolean unavailable);

/** FakeLog_length() - offset of the next record */
guint64 FakeLog_length(const FakeLog_t *this);

/** FakeLog_comeBackOlder() - drop the records from offset @length on and
 * start a new epoch */
void FakeLog_comeBackOlder(FakeLog_t *this, guint64 length);

/** FakeLog_expire() - drop the records before offset @start */
void FakeLog_expire(FakeLog_t *this, guint64 start);

/**
 * FakeLog_connect() - create a client of the log
 * @epoch: epoch state of the client's router
 */
LogClient_t *FakeLog_connect(FakeLog_t *this, StoreEpoch_t *epoch);

/** FakeLog_delayAnswers() - hold back all answers to this client for @ms
 * milliseconds */
void FakeLog_delayAnswers(LogClient_t *client, gint64 ms);

#endif
