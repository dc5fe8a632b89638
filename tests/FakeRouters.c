#include "FakeRouters.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Clock.h"
#include "PeerDatagrams.h"
#include "ProcessClock.h"
#include "testing.h"

#define KEY_BYTES 32
#define PORT_ATTEMPTS_MAX 100
/* Bytes per second; enough for all facts of a test. */
#define GOSSIP_BUDGET 1000000

static void
free_message(gpointer message)
{
    wt__peer_message__free_unpacked(message, NULL);
}

/* A message is valid during its callback only. */
static Wt__PeerMessage *
copy_message(const Wt__PeerMessage *message)
{
    gsize size = wt__peer_message__get_packed_size(message);
    g_autofree guint8 *bytes = g_malloc(size + 1);
    wt__peer_message__pack(message, bytes);
    return wt__peer_message__unpack(NULL, size, bytes);
}

static void
on_message(void *data, Member_t *from, const Wt__PeerMessage *message)
{
    FakeRouter_t *this = data;
    if (this->handler) {
        this->handler(this->handler_data, from, message);
        return;
    }
    g_ptr_array_add(this->received, copy_message(message));
}

static Address_t
own_address(void)
{
    Address_t address = {{0}, 0};
    g_strlcpy(address.host, OwnHost_get(), sizeof(address.host));
    return address;
}

/* Finds a port that is free for both TCP and UDP. */
static gboolean
find_free_port(Address_t *out)
{
    Address_t address = own_address();
    struct sockaddr_in place = PeerDatagrams_toSockaddr(&address);
    socklen_t size = sizeof(place);
    int stream = socket(AF_INET, SOCK_STREAM, 0);
    int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
    gboolean found =
        bind(stream, (struct sockaddr *)&place, size) == 0 &&
        getsockname(stream, (struct sockaddr *)&place, &size) == 0 &&
        bind(datagrams, (struct sockaddr *)&place, size) == 0;
    close(stream);
    close(datagrams);
    address.port = ntohs(place.sin_port);
    *out = address;
    return found;
}

Address_t
FakeRouters_freeAddress(void)
{
    Address_t address = {{0}, 0};
    for (guint i = 0; i < PORT_ATTEMPTS_MAX; i++) {
        if (find_free_port(&address)) {
            return address;
        }
    }
    g_error("no free port on loopback");
}

static void
start_router(FakeRouters_t *this, guint which, gint64 mesh_routers,
             guint seeds, gint64 budget)
{
    static const guint8 key[KEY_BYTES] = {1};
    FakeRouter_t *router = &this->list[which];
    Settings_t *settings = &router->settings;
    settings->router.name = g_string_new(NULL);
    g_string_printf(settings->router.name, "r%u", which);
    settings->router.hall = g_string_new("h");
    settings->keys.seal = g_bytes_new(key, sizeof(key));
    /* A port chosen before it is bound may be taken by another process. */
    settings->peers.listen = own_address();
    settings->peers.gossip_budget = budget;
    settings->peers.mesh_routers = mesh_routers;
    router->received = g_ptr_array_new_with_free_func(free_message);
    MembershipSpec_t spec = {
        .settings = settings,
        .incarnation = 1,
        .callers = {.host = "127.0.0.1", .port = FAKE_CALLERS_PORT + which},
        .upstreams = this->upstreams,
        .counters = this->counters,
        .message = on_message,
        .data = router};
    router->membership = Membership_create(this->base, &spec, NULL);
    g_assert(router->membership);
    for (guint i = 0; i < MIN(which, seeds); i++) {
        Membership_addSeed(router->membership,
                           Membership_address(this->list[i].membership));
    }
}

static gboolean
is_linked(const FakeRouter_t *router, guint others)
{
    const GPtrArray *members = Membership_members(router->membership);
    guint linked = 0;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        linked += member->link ? 1 : 0;
    }
    return linked == others;
}

static gboolean
all_linked(const FakeRouters_t *this)
{
    for (guint i = 0; i < this->count; i++) {
        if (!is_linked(&this->list[i], this->count - 1) ||
            !Membership_isConverged(this->list[i].membership)) {
            return FALSE;
        }
    }
    return TRUE;
}

void
FakeRouters_start(FakeRouters_t *this, guint count, gint64 mesh_routers,
                  guint seeds, gint64 budget)
{
    ProcessClock_start();
    *this = (FakeRouters_t){.base = event_base_new(), .count = count};
    this->upstreams = UpstreamSet_create(this->base, 0);
    this->counters = Counters_create();
    for (guint i = 0; i < count; i++) {
        start_router(this, i, mesh_routers, seeds, budget);
    }
}

void
FakeRouters_join(FakeRouters_t *this, guint more, gint64 mesh_routers,
                 guint seeds, gint64 budget)
{
    for (guint i = 0; i < more; i++) {
        start_router(this, this->count, mesh_routers, seeds, budget);
        this->count++;
    }
}

void
FakeRouters_init(FakeRouters_t *this, guint count, gint64 mesh_routers)
{
    FakeRouters_start(this, count, mesh_routers, count, GOSSIP_BUDGET);
    FakeRouters_await(this, all_linked);
}

static void
clear_router(FakeRouter_t *this)
{
    Membership_destroy(this->membership);
    g_ptr_array_unref(this->received);
    g_string_free(this->settings.router.name, TRUE);
    g_string_free(this->settings.router.hall, TRUE);
    g_bytes_unref(this->settings.keys.seal);
}

void
FakeRouters_clear(FakeRouters_t *this)
{
    for (guint i = 0; i < this->count; i++) {
        clear_router(&this->list[i]);
    }
    /* Closed links are freed in the next loop iteration. */
    event_base_loop(this->base, EVLOOP_NONBLOCK);
    UpstreamSet_destroy(this->upstreams);
    Counters_destroy(this->counters);
    event_base_free(this->base);
}

void
FakeRouters_await(FakeRouters_t *this,
                  gboolean (*condition)(const FakeRouters_t *this))
{
    while (!condition(this)) {
        event_base_loop(this->base, EVLOOP_ONCE);
    }
}

void
FakeRouters_run(FakeRouters_t *this, gint64 ms)
{
    gint64 end_ms = Clock_nowMs() + ms;
    while (Clock_nowMs() < end_ms) {
        event_base_loop(this->base, EVLOOP_ONCE);
    }
}

static const Wt__PeerMessage *
message_at(const FakeRouters_t *this, guint which, guint place)
{
    return g_ptr_array_index(this->list[which].received, place);
}

const Wt__PeerMessage *
FakeRouters_find(const FakeRouters_t *this, guint which,
                 Wt__PeerMessage__BodyCase kind)
{
    for (guint i = this->list[which].received->len; i > 0; i--) {
        if (message_at(this, which, i - 1)->body_case == kind) {
            return message_at(this, which, i - 1);
        }
    }
    return NULL;
}

guint
FakeRouters_count(const FakeRouters_t *this, guint which,
                  Wt__PeerMessage__BodyCase kind)
{
    guint count = 0;
    for (guint i = 0; i < this->list[which].received->len; i++) {
        count += message_at(this, which, i)->body_case == kind ? 1 : 0;
    }
    return count;
}
