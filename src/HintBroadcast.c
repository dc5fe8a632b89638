#include "HintBroadcast.h"

#include "Clock.h"

/* Batching limits the number of messages; a hint loses its use within
 * seconds. */
#define SEND_INTERVAL_MS 50
/* Further hints of the same interval are dropped. */
#define BATCH_HINTS_MAX 512

struct HintBroadcast {
    Membership_t *membership;
    HintHandler_t handler;
    void *owner;
    GArray *batch; /* Hint_t */
    struct event *send_timer;
};

static void
send_batch(const HintBroadcast_t *this)
{
    Wt__Hint *hints = g_new(Wt__Hint, this->batch->len);
    Wt__Hint **list = g_new(Wt__Hint *, this->batch->len);
    for (guint i = 0; i < this->batch->len; i++) {
        const Hint_t *hint = &g_array_index(this->batch, Hint_t, i);
        wt__hint__init(&hints[i]);
        hints[i].kind = hint->kind;
        hints[i].subject = hint->subject;
        hints[i].value = hint->value;
        list[i] = &hints[i];
    }
    Wt__Hints body = WT__HINTS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.n_hints = this->batch->len;
    body.hints = list;
    message.body_case = WT__PEER_MESSAGE__BODY_HINTS;
    message.hints = &body;
    Membership_broadcast(this->membership, &message);
    g_free(list);
    g_free(hints);
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    HintBroadcast_t *this = data;
    if (this->batch->len > 0) {
        send_batch(this);
        g_array_set_size(this->batch, 0);
    }
    Clock_arm(this->send_timer, SEND_INTERVAL_MS);
}

HintBroadcast_t *
HintBroadcast_create(struct event_base *base, Membership_t *membership,
                     HintHandler_t handler, void *owner)
{
    HintBroadcast_t *this = g_new0(HintBroadcast_t, 1);
    this->membership = membership;
    this->handler = handler;
    this->owner = owner;
    this->batch = g_array_new(FALSE, FALSE, sizeof(Hint_t));
    this->send_timer = Clock_timer(base, on_tick, this);
    Clock_arm(this->send_timer, SEND_INTERVAL_MS);
    return this;
}

void
HintBroadcast_destroy(HintBroadcast_t *this)
{
    event_free(this->send_timer);
    g_array_unref(this->batch);
    g_free(this);
}

void
HintBroadcast_add(HintBroadcast_t *this, const Hint_t *hint)
{
    if (this->batch->len < BATCH_HINTS_MAX) {
        g_array_append_val(this->batch, *hint);
    }
}

/* In a full mesh, each router receives hints from their source directly. */
void
HintBroadcast_receive(HintBroadcast_t *this, const Wt__Hints *message)
{
    gboolean forward = !Membership_isMesh(this->membership);
    for (size_t i = 0; i < message->n_hints; i++) {
        Hint_t hint = {(HintKind_t)message->hints[i]->kind,
                       message->hints[i]->subject, message->hints[i]->value};
        if (this->handler(this->owner, &hint) && forward) {
            HintBroadcast_add(this, &hint);
        }
    }
}
