#include "LingeringClose.h"

#include <event2/buffer.h>

#include "Clock.h"

/* Time for a caller to read the answer and to close its end. */
#define LINGER_MS 1000

/** struct Ending_t - a connection that evhttp has freed */
typedef struct {
    struct bufferevent *bev; /* the last reference */
    struct event *limit;
} Ending_t;

static struct event_base *base;
/* struct bufferevent, with a reference each: all output was sent in this turn
 * of the event loop. */
static GHashTable *written;
static GHashTable *endings; /* Ending_t, owned */
static struct event *check; /* of @written, after evhttp handled the same */

static void
drop_input(struct bufferevent *bev)
{
    struct evbuffer *input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
}

static void
destroy_ending(gpointer data)
{
    Ending_t *ending = data;
    event_free(ending->limit);
    bufferevent_disable(ending->bev, EV_READ | EV_WRITE);
    bufferevent_setcb(ending->bev, NULL, NULL, NULL, NULL);
    bufferevent_decref(ending->bev);
    g_free(ending);
}

static void
on_rest(struct bufferevent *bev, void *data)
{
    (void)data;
    drop_input(bev);
}

static void
on_event(struct bufferevent *bev, short what, void *data)
{
    (void)bev;
    (void)what;
    g_hash_table_remove(endings, data);
}

static void
on_limit(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    g_hash_table_remove(endings, data);
}

/* evhttp has ended the sending direction already. */
static void
linger(struct bufferevent *bev)
{
    Ending_t *ending = g_new0(Ending_t, 1);
    ending->bev = bev;
    ending->limit = Clock_timer(base, on_limit, ending);
    Clock_arm(ending->limit, LINGER_MS);
    g_hash_table_add(endings, ending);
    drop_input(bev);
    bufferevent_setcb(bev, on_rest, NULL, on_event, ending);
    bufferevent_set_timeouts(bev, NULL, NULL);
    bufferevent_set_rate_limit(bev, NULL);
    bufferevent_setwatermark(bev, EV_READ, 0, 0);
    bufferevent_enable(bev, EV_READ);
}

/* A freed bufferevent has no callbacks, one of evhttp always has some. */
static gboolean
is_freed(struct bufferevent *bev)
{
    bufferevent_event_cb callback = NULL;
    bufferevent_getcb(bev, NULL, NULL, &callback, NULL);
    return callback == NULL;
}

gboolean
LingeringClose_hasEnded(struct bufferevent *bev)
{
    bufferevent_event_cb callback = NULL;
    bufferevent_getcb(bev, NULL, NULL, &callback, NULL);
    return callback == NULL || callback == on_event;
}

static gboolean
check_entry(gpointer key, gpointer value, gpointer user)
{
    (void)value;
    (void)user;
    struct bufferevent *bev = key;
    if (is_freed(bev) && bufferevent_getfd(bev) >= 0) {
        linger(bev);
    }
    else {
        bufferevent_decref(bev);
    }
    return TRUE;
}

static void
on_check(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    g_hash_table_foreach_remove(written, check_entry, NULL);
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *data)
{
    if (info->n_deleted > 0 && evbuffer_get_length(output) == 0 &&
        g_hash_table_add(written, data)) {
        bufferevent_incref(data);
        event_active(check, EV_TIMEOUT, 0);
    }
}

void
LingeringClose_init(struct event_base *event_base)
{
    base = event_base;
    written = g_hash_table_new(g_direct_hash, g_direct_equal);
    endings = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                    destroy_ending, NULL);
    check = event_new(base, -1, 0, on_check, NULL);
}

void
LingeringClose_clear(void)
{
    on_check(-1, 0, NULL);
    g_hash_table_destroy(endings);
    g_hash_table_destroy(written);
    event_free(check);
}

void
LingeringClose_watch(struct bufferevent *bev)
{
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, bev);
}

guint
LingeringClose_count(void)
{
    return g_hash_table_size(endings);
}
