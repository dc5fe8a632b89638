#ifndef HEADER_ConnectTest
#define HEADER_ConnectTest
/**
 * DOC: ConnectTest
 *
 * Tests whether a TCP connection to an address can be established. Sends no
 * data over it.
 */
#include <event2/event.h>
#include <glib.h>

#include "KeyTable.h"

/** ConnectTestDone_t - called once, unless the test is cancelled */
typedef void (*ConnectTestDone_t)(gboolean connected, void *data);

/** struct ConnectTest_t - opaque; frees itself after its callback */
typedef struct ConnectTest ConnectTest_t;

/**
 * ConnectTest_start() - start to connect
 * @timeout_ms: time after which the test fails
 */
ConnectTest_t *ConnectTest_start(struct event_base *base,
                                 const Address_t *address, gint64 timeout_ms,
                                 ConnectTestDone_t done, void *data);

/** ConnectTest_cancel() - end and free the test without calling its callback
 */
void ConnectTest_cancel(ConnectTest_t *this);

#endif
