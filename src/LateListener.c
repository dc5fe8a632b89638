#include "LateListener.h"

#include "Clock.h"
#include "Log.h"

#define RETRY_INTERVAL_MS 100

struct LateListener {
    ListenRetry_t retry;
    ListenWait_t wait;
    struct event *timer;
};

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    LateListener_t *this = data;
    g_autoptr(GError) error = NULL;
    if (ListenRetry_tryOnce(&this->retry, &this->wait, &error)) {
        return;
    }
    if (error) {
        Log_error("listen_failed", error);
        return;
    }
    Clock_arm(this->timer, RETRY_INTERVAL_MS);
}

LateListener_t *
LateListener_create(struct event_base *base, const ListenRetry_t *retry,
                    GError **error)
{
    LateListener_t *this = g_new0(LateListener_t, 1);
    GError *lasting = NULL;
    this->retry = *retry;
    this->timer = Clock_timer(base, on_timer, this);
    if (ListenRetry_tryOnce(&this->retry, &this->wait, &lasting)) {
        return this;
    }
    if (lasting) {
        g_propagate_error(error, lasting);
        LateListener_destroy(this);
        return NULL;
    }
    Clock_arm(this->timer, RETRY_INTERVAL_MS);
    return this;
}

void
LateListener_destroy(LateListener_t *this)
{
    event_free(this->timer);
    g_free(this);
}
