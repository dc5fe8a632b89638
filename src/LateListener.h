#ifndef HEADER_LateListener
#define HEADER_LateListener
/**
 * DOC: LateListener
 *
 * Opens a socket that callers can be served without. If that fails as the
 * router starts, it is tried again on the event loop.
 */
#include <event2/event.h>

#include "ListenRetry.h"

/** struct LateListener_t - opaque */
typedef struct LateListener LateListener_t;

/**
 * LateListener_create() - try to open a socket, now and later
 * @retry: copied; what it refers to must outlive the object
 * @error: WT_ERROR_LISTEN
 *
 * Return: NULL if the socket can never be opened
 */
LateListener_t *LateListener_create(struct event_base *base,
                                    const ListenRetry_t *retry,
                                    GError **error);

/** LateListener_destroy() - give up, or free the state; the socket stays open
 */
void LateListener_destroy(LateListener_t *this);

#endif
