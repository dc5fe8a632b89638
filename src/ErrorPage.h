#ifndef HEADER_ErrorPage
#define HEADER_ErrorPage
/**
 * DOC: ErrorPage
 *
 * Recognizes the pages with which evhttp answers requests that it does not
 * hand out: malformed ones, those that are too long, and those that it can't
 * serve. They don't tell whether a request ran.
 */
#include <event2/buffer.h>
#include <glib.h>

#include "Refusal.h"

/**
 * ErrorPage_read() - find out whether a connection's output is such a page
 * @output: reserved for one answer, which evhttp may still be writing
 * @refusal: set to what the page stands for
 */
gboolean ErrorPage_read(struct evbuffer *output, Refusal_t *refusal);

#endif
