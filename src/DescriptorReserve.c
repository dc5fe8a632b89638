#include "DescriptorReserve.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "Clock.h"
#include "Log.h"

/* The reserve is at most this part of what the system allows. */
#define LIMIT_DIVISOR 4
/* Shorter than a pause of accept(), which would take what is free first. */
#define FILL_INTERVAL_MS 5
#define LOG_INTERVAL_MS 1000

static int kept[DESCRIPTOR_RESERVE_MAX];
static guint count;
static guint target;
static struct event *fill_timer;
static gint64 logged_ms;

static int
open_spare(void)
{
    return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

static void
fill(void)
{
    while (count < target) {
        int fd = open_spare();
        if (fd < 0) {
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
DescriptorReserve_clear(void)
{
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
