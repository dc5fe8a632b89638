#include "DescriptorReserve.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "StopSignals.h"

/* The reserve is at most this part of what the system allows. */
#define LIMIT_DIVISOR 4
/* Shorter than a pause of accept(), which would take what is free first. */
#define FILL_INTERVAL_MS 5
#define LOG_INTERVAL_MS 1000
#define AWAIT_INTERVAL_US 20000
#define AWAIT_LOG_INTERVAL_MS 10000

static int kept[DESCRIPTOR_RESERVE_MAX];
static guint count;
static guint target;
static struct event *fill_timer;
static gint64 logged_ms;
static DescriptorSource_t source; /* or NULL */

static int
open_spare(void)
{
    return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

static void
free_others(guint wanted)
{
    if (source) {
        (void)source(wanted);
    }
}

static void
fill(void)
{
    while (count < target) {
        int fd = open_spare();
        if (fd < 0) {
            free_others(target - count);
            Clock_arm(fill_timer, FILL_INTERVAL_MS);
            return;
        }
        kept[count++] = fd;
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    fill();
}

/* Returns an errno, or 0 if @wanted descriptors can be opened. */
static int
try_open(guint wanted)
{
    int opened[DESCRIPTOR_RESERVE_MAX];
    int code = 0;
    guint held = 0;
    while (held < MIN(wanted, DESCRIPTOR_RESERVE_MAX) && code == 0) {
        opened[held] = open_spare();
        if (opened[held] < 0) {
            code = errno;
        }
        else {
            held++;
        }
    }
    while (held > 0) {
        close(opened[--held]);
    }
    return code;
}

static void
log_await(guint wanted, gint64 waited_ms, int code)
{
    Log_begin(LOG_LEVEL_WARNING, "descriptors_awaited");
    Log_number("wanted", wanted);
    Log_number("waited_ms", waited_ms);
    Log_text("error", g_strerror(code));
    Log_end();
}

gboolean
DescriptorReserve_await(guint wanted, GError **error)
{
    gint64 began_ms = Clock_nowMs();
    gint64 next_log_ms = began_ms;
    int code = try_open(wanted);
    while (code != 0) {
        gint64 now_ms = Clock_nowMs();
        if (now_ms >= next_log_ms) {
            log_await(wanted, now_ms - began_ms, code);
            next_log_ms = now_ms + AWAIT_LOG_INTERVAL_MS;
        }
        if (StopSignals_arePending()) {
            g_set_error(error, WT_ERROR, WT_ERROR_DESCRIPTORS,
                        "can't open %u descriptors: %s", wanted,
                        g_strerror(code));
            return FALSE;
        }
        g_usleep(AWAIT_INTERVAL_US);
        code = try_open(wanted);
    }
    return TRUE;
}

void
DescriptorReserve_init(struct event_base *base)
{
    struct rlimit limit = {0};
    getrlimit(RLIMIT_NOFILE, &limit);
    target = (guint)MIN(limit.rlim_cur / LIMIT_DIVISOR,
                        (rlim_t)DESCRIPTOR_RESERVE_MAX);
    fill_timer = Clock_timer(base, on_timer, NULL);
    fill();
}

void
DescriptorReserve_setSource(DescriptorSource_t others)
{
    source = others;
}

void
DescriptorReserve_clear(void)
{
    source = NULL;
    while (count > 0) {
        close(kept[--count]);
    }
    target = 0;
    logged_ms = 0;
    g_clear_pointer(&fill_timer, event_free);
}

static void
log_use(void)
{
    gint64 now_ms = Clock_nowMs();
    if (logged_ms > 0 && now_ms - logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "descriptors_short");
    Log_number("reserve", count);
    Log_number("of", target);
    Log_end();
    logged_ms = now_ms;
}

gboolean
DescriptorReserve_release(void)
{
    int fd = open_spare();
    if (fd >= 0) {
        close(fd);
        return TRUE;
    }
    log_use();
    if (count == 0) {
        return FALSE;
    }
    close(kept[--count]);
    Clock_arm(fill_timer, FILL_INTERVAL_MS);
    return TRUE;
}

gboolean
DescriptorReserve_isShort(void)
{
    return count < target;
}

guint
DescriptorReserve_missing(void)
{
    return target - count;
}
