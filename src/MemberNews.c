#include "MemberNews.h"

#include "Random.h"

/* The allowance is that of so many seconds: a fact in full has 62 bytes, so
 * that with 2000 bytes a second 295 routers fit into it 13 times, which is
 * once for each link of a router and some more. */
#define SAVED_S 120
/* Part of the rate by which it grows again. */
#define GROWTH_PARTS 4

/* Routers that the others are told of: two more than the links that a router
 * makes. */
#define SAMPLE 8

struct MemberNews {
    MemberTable_t *table;
    GPtrArray *pending; /* Member_t, scratch of MemberNews_pending() */
    guint64 newest;     /* place of the newest news */
    double allowance;   /* in bytes */
    gboolean begun;     /* the allowance was filled once */
};

MemberNews_t *
MemberNews_create(MemberTable_t *table)
{
    MemberNews_t *this = g_new0(MemberNews_t, 1);
    this->table = table;
    this->pending = g_ptr_array_new();
    return this;
}

void
MemberNews_destroy(MemberNews_t *this)
{
    g_ptr_array_unref(this->pending);
    g_free(this);
}

void
MemberNews_note(MemberNews_t *this, Member_t *member)
{
    member->news = ++this->newest;
}

static gint
compare_news(gconstpointer a, gconstpointer b)
{
    const Member_t *left = *(Member_t *const *)a;
    const Member_t *right = *(Member_t *const *)b;
    return (left->news > right->news) - (left->news < right->news);
}

static void
add_untold(MemberNews_t *this, Member_t *member, guint64 told)
{
    if (member->news > told) {
        g_ptr_array_add(this->pending, member);
    }
}

/* Begins anywhere, or all that ask a seed would link the same ones. */
static void
pick_sample(MemberNews_t *this, const Member_t *peer)
{
    guint count = this->table->live->len;
    guint start = count > 0 ? Random_below(count) : 0;
    for (guint i = 0; i < count; i++) {
        Member_t *member =
            g_ptr_array_index(this->table->live, (start + i) % count);
        if (this->pending->len + peer->sampled >= SAMPLE) {
            return;
        }
        if (member != peer && member->address.port != 0) {
            g_ptr_array_add(this->pending, member);
        }
    }
}

const GPtrArray *
MemberNews_pending(MemberNews_t *this, const Member_t *peer, gboolean fed)
{
    g_ptr_array_set_size(this->pending, 0);
    if (!fed) {
        pick_sample(this, peer);
    }
    else if (peer->told < this->newest) {
        add_untold(this, &this->table->self, peer->told);
        for (guint i = 0; i < this->table->live->len; i++) {
            add_untold(this, g_ptr_array_index(this->table->live, i),
                       peer->told);
        }
        g_ptr_array_sort(this->pending, compare_news);
    }
    return this->pending->len > 0 ? this->pending : NULL;
}

void
MemberNews_told(Member_t *peer, const Member_t *member, gboolean fed)
{
    if (fed) {
        peer->told = member->news;
    }
    else {
        peer->sampled++;
    }
}

gboolean
MemberNews_wasToldAll(const MemberNews_t *this, const Member_t *peer)
{
    return peer->told >= this->newest;
}

void
MemberNews_grow(MemberNews_t *this, gint64 rate, gint64 passed_ms)
{
    double most = (double)rate * SAVED_S;
    double growth =
        (double)rate / GROWTH_PARTS * (double)passed_ms / (double)1000;
    this->allowance = this->begun ? MIN(this->allowance + growth, most) : most;
    this->begun = TRUE;
}

gsize
MemberNews_allowance(const MemberNews_t *this)
{
    return this->allowance > 0 ? (gsize)this->allowance : 0;
}

void
MemberNews_spend(MemberNews_t *this, gsize bytes)
{
    this->allowance -= (double)bytes;
}
