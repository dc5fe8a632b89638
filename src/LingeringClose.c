#include "LingeringClose.h"

#include <event2/buffer.h>

#include "Clock.h"

/* Time after the last bytes for a caller to read the answer and to close its
 * end. */
#define QUIET_MS 1000
/* The same for a caller of whose request a part is missing. */
#define PAUSE_MS 5000
/* Longest time that a caller is read from, as the rest of a large body may
 * take. */
#define LINGER_MAX_MS 9000
/* Turns of the event loop in which evhttp may free a connection that it has
 * ended: the event loop puts off some of many deferred callbacks. */
#define LOOKS 3

/** struct Ending_t - a connection that evhttp has freed */
typedef struct {
    struct bufferevent *bev; /* the last reference */
    struct event *limit;
    gint64 begin_ms;
    gint64 quiet_ms; /* that it may be silent for */
    GList link;      /* in @endings */
} Ending_t;

/** struct Written_t - a connection all of whose output was sent a short time
 * ago */
typedef struct {
    guint looks;         /* that are left */
    gboolean is_partial; /* a part of its request has not come */
} Written_t;

static struct event_base *base;
/* struct bufferevent, with a reference each -> Written_t, owned */
static GHashTable *written;
static GQueue endings;      /* Ending_t, owned, the oldest first */
static struct event *check; /* of @written, after evhttp handled the same */
static struct event *later; /* the same in the next turn */

static void
drop_input(struct bufferevent *bev)
{
    struct evbuffer *input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
}

static void
destroy_ending(Ending_t *ending)
{
    g_queue_unlink(&endings, &ending->link);
    event_free(ending->limit);
    bufferevent_disable(ending->bev, EV_READ | EV_WRITE);
    bufferevent_setcb(ending->bev, NULL, NULL, NULL, NULL);
    bufferevent_decref(ending->bev);
    g_free(ending);
}

static void
on_rest(struct bufferevent *bev, void *data)
{
    const Ending_t *ending = data;
    gint64 left_ms = ending->begin_ms + LINGER_MAX_MS - Clock_nowMs();
    drop_input(bev);
    Clock_arm(ending->limit, CLAMP(left_ms, 0, ending->quiet_ms));
}

static void
on_event(struct bufferevent *bev, short what, void *data)
{
    (void)bev;
    (void)what;
    destroy_ending(data);
}

static void
on_limit(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    destroy_ending(data);
}

/* evhttp has ended the sending direction already. */
static void
linger(struct bufferevent *bev, gboolean is_partial)
{
    Ending_t *ending = g_new0(Ending_t, 1);
    ending->bev = bev;
    ending->begin_ms = Clock_nowMs();
    ending->quiet_ms = is_partial ? PAUSE_MS : QUIET_MS;
    ending->limit = Clock_timer(base, on_limit, ending);
    Clock_arm(ending->limit, ending->quiet_ms);
    ending->link.data = ending;
    g_queue_push_tail_link(&endings, &ending->link);
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
    (void)user;
    struct bufferevent *bev = key;
    Written_t *entry = value;
    if (!is_freed(bev) && --entry->looks > 0) {
        return FALSE;
    }
    if (is_freed(bev) && bufferevent_getfd(bev) >= 0) {
        linger(bev, entry->is_partial);
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
    if (g_hash_table_size(written) > 0) {
        Clock_arm(later, 0);
    }
}

static Written_t *
note_written(struct bufferevent *bev)
{
    Written_t *entry = g_hash_table_lookup(written, bev);
    if (!entry) {
        entry = g_new0(Written_t, 1);
        g_hash_table_insert(written, bev, entry);
        bufferevent_incref(bev);
    }
    entry->looks = LOOKS;
    event_active(check, EV_TIMEOUT, 0);
    return entry;
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *data)
{
    if (info->n_deleted > 0 && evbuffer_get_length(output) == 0) {
        (void)note_written(data);
    }
}

void
LingeringClose_expectRest(struct bufferevent *bev)
{
    note_written(bev)->is_partial = TRUE;
}

void
LingeringClose_init(struct event_base *event_base)
{
    base = event_base;
    written =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    check = event_new(base, -1, 0, on_check, NULL);
    later = Clock_timer(base, on_check, NULL);
}

void
LingeringClose_clear(void)
{
    for (guint look = 0; look < LOOKS; look++) {
        on_check(-1, 0, NULL);
    }
    while (endings.length > 0) {
        destroy_ending(endings.head->data);
    }
    g_hash_table_destroy(written);
    event_free(check);
    event_free(later);
}

void
LingeringClose_watch(struct bufferevent *bev)
{
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, bev);
}

guint
LingeringClose_closeOldest(guint wanted)
{
    gint64 before_ms = Clock_nowMs() - QUIET_MS;
    guint count = 0;
    while (count < wanted && endings.length > 0) {
        Ending_t *oldest = endings.head->data;
        if (oldest->begin_ms > before_ms) {
            break;
        }
        destroy_ending(oldest);
        count++;
    }
    return count;
}

guint
LingeringClose_count(void)
{
    return endings.length;
}
