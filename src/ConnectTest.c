#include "ConnectTest.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

#include "Clock.h"
#include "DescriptorReserve.h"
#include "OutgoingSocket.h"

struct ConnectTest {
    struct bufferevent *bev;
    ConnectTestDone_t done;
    void *data;
};

void
ConnectTest_cancel(ConnectTest_t *this)
{
    bufferevent_free(this->bev);
    g_free(this);
}

static void
on_event(struct bufferevent *bev, short what, void *data)
{
    (void)bev;
    ConnectTest_t *this = data;
    gboolean connected = (what & BEV_EVENT_CONNECTED) != 0;
    this->done(connected, this->data);
    ConnectTest_cancel(this);
}

ConnectTest_t *
ConnectTest_start(struct event_base *base, const Address_t *address,
                  gint64 timeout_ms, ConnectTestDone_t done, void *data)
{
    ConnectTest_t *this = g_new0(ConnectTest_t, 1);
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_port = htons(address->port)};
    struct timeval timeout = {timeout_ms / CLOCK_MS_PER_S,
                              (timeout_ms % CLOCK_MS_PER_S) * CLOCK_US_PER_MS};
    inet_pton(AF_INET, address->host, &addr.sin_addr);
    this->done = done;
    this->data = data;
    this->bev = bufferevent_socket_new(
        base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(this->bev, NULL, NULL, on_event, this);
    bufferevent_set_timeouts(this->bev, NULL, &timeout);
    bufferevent_enable(this->bev, EV_WRITE);
    (void)DescriptorReserve_release();
    if (bufferevent_socket_connect(this->bev, (struct sockaddr *)&addr,
                                   sizeof(addr)) != 0) {
        bufferevent_trigger_event(this->bev, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
    OutgoingSocket_prepare(this->bev, SOCKET_SHORT_CALL);
    return this;
}
