#include "GossipQueue.h"

typedef struct {
    char *name;
    guint sends;
} Fact_t;

struct GossipQueue {
    GQueue facts[FACT_KIND_COUNT];        /* Fact_t, in sending order */
    GHashTable *by_name[FACT_KIND_COUNT]; /* name -> Fact_t */
};

static void
free_fact(gpointer data)
{
    Fact_t *fact = data;
    g_free(fact->name);
    g_free(fact);
}

GossipQueue_t *
GossipQueue_create(void)
{
    GossipQueue_t *this = g_new0(GossipQueue_t, 1);
    for (int i = 0; i < FACT_KIND_COUNT; i++) {
        g_queue_init(&this->facts[i]);
        this->by_name[i] = g_hash_table_new(g_str_hash, g_str_equal);
    }
    return this;
}

void
GossipQueue_destroy(GossipQueue_t *this)
{
    for (int i = 0; i < FACT_KIND_COUNT; i++) {
        g_queue_clear_full(&this->facts[i], free_fact);
        g_hash_table_destroy(this->by_name[i]);
    }
    g_free(this);
}

void
GossipQueue_add(GossipQueue_t *this, FactKind_t kind, const char *name,
                guint sends)
{
    Fact_t *fact = g_hash_table_lookup(this->by_name[kind], name);
    if (!fact) {
        fact = g_new0(Fact_t, 1);
        fact->name = g_strdup(name);
        g_hash_table_insert(this->by_name[kind], fact->name, fact);
        g_queue_push_tail(&this->facts[kind], fact);
    }
    fact->sends = MAX(fact->sends, sends);
}

static void
count_sent(GossipQueue_t *this, int kind, Fact_t *fact)
{
    if (--fact->sends > 0) {
        g_queue_push_tail(&this->facts[kind], fact);
        return;
    }
    g_hash_table_remove(this->by_name[kind], fact->name);
    free_fact(fact);
}

void
GossipQueue_offerFacts(GossipQueue_t *this, GossipOffer_t offer, void *data)
{
    for (int kind = 0; kind < FACT_KIND_COUNT; kind++) {
        guint remaining = g_queue_get_length(&this->facts[kind]);
        for (; remaining > 0; remaining--) {
            Fact_t *fact = g_queue_pop_head(&this->facts[kind]);
            if (!offer((FactKind_t)kind, fact->name, data)) {
                g_queue_push_head(&this->facts[kind], fact);
                return;
            }
            count_sent(this, kind, fact);
        }
    }
}

gboolean
GossipQueue_hasKind(const GossipQueue_t *this, FactKind_t kind)
{
    return !g_queue_is_empty((GQueue *)&this->facts[kind]);
}

guint
GossipQueue_length(const GossipQueue_t *this)
{
    guint length = 0;
    for (int i = 0; i < FACT_KIND_COUNT; i++) {
        length += g_queue_get_length((GQueue *)&this->facts[i]);
    }
    return length;
}
