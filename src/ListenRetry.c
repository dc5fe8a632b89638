#include "ListenRetry.h"

#include <errno.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "StopSignals.h"

#define RETRY_INTERVAL_US 20000

/* The machine may be out of sockets for a moment, or not have its address yet.
 */
static gboolean
may_pass(int code)
{
    return code == EADDRINUSE || code == EADDRNOTAVAIL || code == EMFILE ||
           code == ENFILE || code == ENOBUFS || code == ENOMEM;
}

static void
set_error(const ListenRetry_t *this, int code, GError **error)
{
    g_set_error(error, WT_ERROR, WT_ERROR_LISTEN,
                "%s: can't listen on %s:%u: %s", this->setting,
                this->address->host, this->address->port, g_strerror(code));
}

static void
log_wait(const char *event, const ListenRetry_t *this, gint64 waited_ms,
         int code)
{
    Log_begin(code ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO, event);
    Log_text("setting", this->setting);
    Log_text("host", this->address->host);
    Log_number("port", this->address->port);
    Log_number("waited_ms", waited_ms);
    if (code) {
        Log_text("error", g_strerror(code));
    }
    Log_end();
}

static void
note_failure(const ListenRetry_t *this, ListenWait_t *wait, int code)
{
    gint64 now_ms = Clock_nowMs();
    gboolean is_first = wait->began_ms == 0;
    if (is_first) {
        wait->began_ms = now_ms;
    }
    if (is_first || now_ms - wait->logged_ms >= LISTEN_LOG_INTERVAL_MS) {
        wait->logged_ms = now_ms;
        log_wait("listen_waits", this, now_ms - wait->began_ms, code);
    }
}

gboolean
ListenRetry_tryOnce(const ListenRetry_t *this, ListenWait_t *wait,
                    GError **error)
{
    errno = 0;
    if (this->open(this->owner)) {
        if (wait->began_ms > 0) {
            log_wait("listen_succeeded", this, Clock_nowMs() - wait->began_ms,
                     0);
        }
        return TRUE;
    }
    int code = errno;
    if (may_pass(code)) {
        note_failure(this, wait, code);
    }
    else {
        set_error(this, code, error);
    }
    errno = code;
    return FALSE;
}

gboolean
ListenRetry_run(const ListenRetry_t *this, GError **error)
{
    ListenWait_t wait = {0};
    GError *lasting = NULL;
    while (!ListenRetry_tryOnce(this, &wait, &lasting)) {
        int code = errno;
        if (lasting) {
            g_propagate_error(error, lasting);
            return FALSE;
        }
        if (StopSignals_arePending()) {
            set_error(this, code, error);
            return FALSE;
        }
        g_usleep(RETRY_INTERVAL_US);
    }
    return TRUE;
}
