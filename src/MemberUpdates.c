#include "MemberUpdates.h"

#include "Random.h"

/* Largest allowance, in seconds of the rate. A full fact has 62 bytes, so that
 * at 2000 bytes per second the allowance holds 295 routers 13 times, which is
 * more than once for each link of a router. */
#define ALLOWANCE_MAX_S 120
/* The allowance refills at the rate divided by this. */
#define REFILL_DIVISOR 4

/* Number of routers that are sent to a peer which does not get all updates:
 * two more than the links that a router opens. */
#define SAMPLE_MAX 8

struct MemberUpdates {
    MemberTable_t *table;
    GPtrArray *pending; /* Member_t, scratch of MemberUpdates_listPending() */
    guint64 newest_seq; /* sequence number of the newest update */
    double allowance;   /* bytes that may be sent now */
    gboolean initialized; /* the allowance was filled for the start */
};

MemberUpdates_t *
MemberUpdates_create(MemberTable_t *table)
{
    MemberUpdates_t *this = g_new0(MemberUpdates_t, 1);
    this->table = table;
    this->pending = g_ptr_array_new();
    return this;
}

void
MemberUpdates_destroy(MemberUpdates_t *this)
{
    g_ptr_array_unref(this->pending);
    g_free(this);
}

void
MemberUpdates_note(MemberUpdates_t *this, Member_t *member)
{
    member->update_seq = ++this->newest_seq;
}

static gint
compare_update_seq(gconstpointer a, gconstpointer b)
{
    const Member_t *left = *(Member_t *const *)a;
    const Member_t *right = *(Member_t *const *)b;
    return (left->update_seq > right->update_seq) -
           (left->update_seq < right->update_seq);
}

static void
add_unsent(MemberUpdates_t *this, Member_t *member, guint64 sent_seq)
{
    if (member->update_seq > sent_seq) {
        g_ptr_array_add(this->pending, member);
    }
}

/* Starts at a random router, as otherwise all peers of a seed would link to
 * the same routers. */
static void
pick_sample(MemberUpdates_t *this, const Member_t *peer)
{
    guint count = this->table->live->len;
    guint start = count > 0 ? Random_below(count) : 0;
    for (guint i = 0; i < count; i++) {
        Member_t *member =
            g_ptr_array_index(this->table->live, (start + i) % count);
        if (this->pending->len + peer->sampled_count >= SAMPLE_MAX) {
            return;
        }
        if (member != peer && member->address.port != 0) {
            g_ptr_array_add(this->pending, member);
        }
    }
}

const GPtrArray *
MemberUpdates_listPending(MemberUpdates_t *this, const Member_t *peer,
                          gboolean send_all)
{
    g_ptr_array_set_size(this->pending, 0);
    if (!send_all) {
        pick_sample(this, peer);
    }
    else if (peer->sent_seq < this->newest_seq) {
        add_unsent(this, &this->table->self, peer->sent_seq);
        for (guint i = 0; i < this->table->live->len; i++) {
            add_unsent(this, g_ptr_array_index(this->table->live, i),
                       peer->sent_seq);
        }
        g_ptr_array_sort(this->pending, compare_update_seq);
    }
    return this->pending->len > 0 ? this->pending : NULL;
}

void
MemberUpdates_noteSent(Member_t *peer, const Member_t *member,
                       gboolean send_all)
{
    if (send_all) {
        peer->sent_seq = member->update_seq;
    }
    else {
        peer->sampled_count++;
    }
}

gboolean
MemberUpdates_hasSentAll(const MemberUpdates_t *this, const Member_t *peer)
{
    return peer->sent_seq >= this->newest_seq;
}

void
MemberUpdates_refillAllowance(MemberUpdates_t *this, gint64 rate,
                              gint64 elapsed_ms)
{
    double max = (double)rate * ALLOWANCE_MAX_S;
    double refill =
        (double)rate / REFILL_DIVISOR * (double)elapsed_ms / (double)1000;
    this->allowance =
        this->initialized ? MIN(this->allowance + refill, max) : max;
    this->initialized = TRUE;
}

gsize
MemberUpdates_allowance(const MemberUpdates_t *this)
{
    return this->allowance > 0 ? (gsize)this->allowance : 0;
}

void
MemberUpdates_charge(MemberUpdates_t *this, gsize bytes)
{
    this->allowance -= (double)bytes;
}
