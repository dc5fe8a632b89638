#ifndef HEADER_ConnectTest
#define HEADER_ConnectTest
/**
 * DOC: ConnectTest
 *
 * Whether a connection to an address comes up. Nothing is sent over it.
 */
#include <event2/event.h>
#include <glib.h>

#include "KeyTable.h"

/** ConnectTestDone_t - called once, unless the test was cancelled */
typedef void (*ConnectTestDone_t)(gboolean connected, void *data);

/** struct ConnectTest_t - opaque; frees itself after its callback */
typedef struct ConnectTest ConnectTest_t;

/** ConnectTest_start() - begin to connect
 * @timeout_ms: after which it counts as not come up */
ConnectTest_t *ConnectTest_start(struct event_base *base,
                                 const Address_t *address, gint64 timeout_ms,
                                 ConnectTestDone_t done, void *data);

/** ConnectTest_cancel() - the callback is not called */
void ConnectTest_cancel(ConnectTest_t *this);

#endif
