#include "ListenRetry.h"

#include <errno.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "StopSignals.h"

#define RETRY_INTERVAL_US 20000

gboolean
ListenRetry_tryOnce(const ListenRetry_t *this, GError **error)
{
    errno = 0;
    if (this->open(this->owner)) {
        return TRUE;
    }
    int code = errno;
    g_set_error(error, WT_ERROR, WT_ERROR_LISTEN,
                "%s: can't listen on %s:%u: %s", this->setting,
                this->address->host, this->address->port, g_strerror(code));
    errno = code;
    return FALSE;
}

/* The machine may be out of sockets for a moment, or not have its address yet.
 */
static gboolean
may_pass(int code)
{
    return code == EADDRINUSE || code == EADDRNOTAVAIL || code == EMFILE ||
           code == ENFILE || code == ENOBUFS || code == ENOMEM;
}

static void
log_wait(const char *event, const ListenRetry_t *this, gint64 waited_ms)
{
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_text("setting", this->setting);
    Log_text("host", this->address->host);
    Log_number("port", this->address->port);
    Log_number("waited_ms", waited_ms);
    Log_end();
}

gboolean
ListenRetry_run(const ListenRetry_t *this, GError **error)
{
    gint64 started_ms = Clock_nowMs();
    gint64 waited_ms = 0;
    gboolean waits = FALSE;
    while (!ListenRetry_tryOnce(this, error)) {
        if (!may_pass(errno) || waited_ms >= LISTEN_WAIT_MAX_MS ||
            StopSignals_arePending()) {
            return FALSE;
        }
        g_clear_error(error);
        if (!waits) {
            log_wait("listen_waits", this, 0);
            waits = TRUE;
        }
        g_usleep(RETRY_INTERVAL_US);
        waited_ms = Clock_nowMs() - started_ms;
    }
    if (waits) {
        log_wait("listen_succeeded", this, waited_ms);
    }
    return TRUE;
}
