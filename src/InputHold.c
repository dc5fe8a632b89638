#include "InputHold.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

/* A limit on reading is the only hold of a bufferevent that lasts while evhttp
 * enables reading. It is refilled by a byte in a tick. */
#define HOLD_BYTES (1 << 30)
#define HOLD_TICK_S 3600

static struct ev_token_bucket_cfg *
hold_rate(void)
{
    static struct ev_token_bucket_cfg *rate;
    if (!rate) {
        struct timeval tick = {HOLD_TICK_S, 0};
        rate = ev_token_bucket_cfg_new(1, 1, EV_RATE_LIMIT_MAX,
                                       EV_RATE_LIMIT_MAX, &tick);
    }
    return rate;
}

static void
on_complete(struct evhttp_request *request, void *data)
{
    (void)data;
    InputHold_end(evhttp_request_get_connection(request));
}

/* RequestIntake may have slowed down what comes behind the request. */
void
InputHold_begin(struct evhttp_request *request)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));
    if (!bufferevent_get_token_bucket_cfg(stream)) {
        bufferevent_set_rate_limit(stream, hold_rate());
    }
    bufferevent_decrement_read_limit(stream, HOLD_BYTES);
    evhttp_request_set_on_complete_cb(request, on_complete, NULL);
}

void
InputHold_end(struct evhttp_connection *connection)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    const struct ev_token_bucket_cfg *rate =
        bufferevent_get_token_bucket_cfg(stream);
    if (rate && rate == hold_rate()) {
        bufferevent_set_rate_limit(stream, NULL);
    }
    else if (rate) {
        bufferevent_decrement_read_limit(stream, -HOLD_BYTES);
    }
}
