#include "WholeAnswers.h"

struct WholeAnswers {
    GHashTable *known; /* &digest -> the link of its answer */
    GQueue answers;    /* WholeAnswer_t, the oldest at the head */
};

typedef struct {
    RequestDigest_t digest;
    gint64 at_ms;
} WholeAnswer_t;

WholeAnswers_t *
WholeAnswers_create(void)
{
    WholeAnswers_t *this = g_new0(WholeAnswers_t, 1);
    this->known = g_hash_table_new(RequestDigest_hash, RequestDigest_equal);
    g_queue_init(&this->answers);
    return this;
}

void
WholeAnswers_destroy(WholeAnswers_t *this)
{
    g_hash_table_destroy(this->known);
    g_queue_clear_full(&this->answers, g_free);
    g_free(this);
}

static void
drop(WholeAnswers_t *this, GList *link)
{
    WholeAnswer_t *answer = link->data;
    g_hash_table_remove(this->known, &answer->digest);
    g_queue_delete_link(&this->answers, link);
    g_free(answer);
}

static gboolean
is_old(const WholeAnswer_t *answer, gint64 now_ms)
{
    return now_ms - answer->at_ms > WHOLE_ANSWERS_MS;
}

void
WholeAnswers_note(WholeAnswers_t *this, const RequestDigest_t *digest,
                  gint64 now_ms)
{
    GList *link = g_hash_table_lookup(this->known, digest);
    if (link) {
        drop(this, link);
    }
    WholeAnswer_t *answer = g_new0(WholeAnswer_t, 1);
    answer->digest = *digest;
    answer->at_ms = now_ms;
    g_queue_push_tail(&this->answers, answer);
    g_hash_table_insert(this->known, &answer->digest, this->answers.tail);
    while (g_queue_get_length(&this->answers) > WHOLE_ANSWERS_MAX ||
           is_old(this->answers.head->data, now_ms)) {
        drop(this, this->answers.head);
    }
}

gboolean
WholeAnswers_take(WholeAnswers_t *this, const RequestDigest_t *digest,
                  gint64 now_ms)
{
    GList *link = g_hash_table_lookup(this->known, digest);
    if (!link) {
        return FALSE;
    }
    gboolean is_recent = !is_old(link->data, now_ms);
    drop(this, link);
    return is_recent;
}
