#ifndef HEADER_IntakeSocket
#define HEADER_IntakeSocket
/**
 * DOC: IntakeSocket
 *
 * The socket of a caller whose request has not been read whole: what the
 * kernel holds of it, whether its caller has left, and the answer to it before
 * evhttp knows of it.
 */
#include <event2/bufferevent.h>
#include <glib.h>

#include "Refusal.h"

/** IntakeSocket_widen() - let the kernel take more of a request than at first,
 * if it can */
void IntakeSocket_widen(struct bufferevent *stream);

/** IntakeSocket_unread() - bytes that have come and were not read */
gsize IntakeSocket_unread(struct bufferevent *stream);

/** IntakeSocket_hasCallerLeft() - whether the caller has ended the connection
 * without the rest of its request
 * @missing: bytes that were not read */
gboolean IntakeSocket_hasCallerLeft(struct bufferevent *stream,
                                    guint64 missing);

/** IntakeSocket_writeRefusal() - write an answer that says that the request
 * did not run, and that the connection ends */
void IntakeSocket_writeRefusal(struct bufferevent *stream, Refusal_t refusal);

/** IntakeSocket_replaceOutput() - write such an answer in the place of what
 * was to be written */
void IntakeSocket_replaceOutput(struct bufferevent *stream, Refusal_t refusal);

#endif
