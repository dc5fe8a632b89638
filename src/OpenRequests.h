#ifndef HEADER_OpenRequests
#define HEADER_OpenRequests
/**
 * DOC: OpenRequests
 *
 * Callers' requests that a router has taken and not answered yet, so that each
 * gets an answer if the router must end before.
 */
#include <glib.h>

/** struct OpenRequests_t - opaque */
typedef struct OpenRequests OpenRequests_t;

/** OpenRequestEnd_t - answer the request at once; removes it */
typedef void (*OpenRequestEnd_t)(void *request);

/** OpenRequests_create() - begin without requests */
OpenRequests_t *OpenRequests_create(void);

/** OpenRequests_destroy() - free it, not the requests */
void OpenRequests_destroy(OpenRequests_t *this);

/** OpenRequests_add() - a request was taken */
void OpenRequests_add(OpenRequests_t *this, void *request,
                      OpenRequestEnd_t end);

/** OpenRequests_remove() - a request was answered or given up */
void OpenRequests_remove(OpenRequests_t *this, void *request);

/** OpenRequests_endAll() - end all requests */
void OpenRequests_endAll(OpenRequests_t *this);

#endif
