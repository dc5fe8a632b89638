#include "ClaimIndex.h"

#include <string.h>

typedef struct {
    ClaimId_t key;
    ClaimId_t attempt;
    gint64 at_ms; /* wall-clock time of the record, as its appender gave it */
    gboolean ran;
} Claim_t;

typedef struct {
    ClaimId_t attempt;
    gint64 at_ms;
} VoidAttempt_t;

struct ClaimIndex {
    GHashTable *claims; /* key -> Claim_t */
    GHashTable *voids;  /* attempt -> VoidAttempt_t */
};

static guint
hash_id(gconstpointer id)
{
    guint hash = 0;
    memcpy(&hash, id, sizeof(hash));
    return hash;
}

static gboolean
equal_ids(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, CLAIM_ID_BYTES) == 0;
}

ClaimIndex_t *
ClaimIndex_create(void)
{
    ClaimIndex_t *this = g_new0(ClaimIndex_t, 1);
    this->claims = g_hash_table_new_full(hash_id, equal_ids, NULL, g_free);
    this->voids = g_hash_table_new_full(hash_id, equal_ids, NULL, g_free);
    return this;
}

void
ClaimIndex_destroy(ClaimIndex_t *this)
{
    g_hash_table_destroy(this->claims);
    g_hash_table_destroy(this->voids);
    g_free(this);
}

static void
void_attempt(ClaimIndex_t *this, const ClaimId_t *attempt, gint64 at_ms)
{
    VoidAttempt_t *entry = g_new0(VoidAttempt_t, 1);
    entry->attempt = *attempt;
    entry->at_ms = at_ms;
    g_hash_table_replace(this->voids, &entry->attempt, entry);
}

static void
fold_claim(ClaimIndex_t *this, const ClaimId_t *key, const ClaimId_t *attempt,
           gint64 at_ms)
{
    const Claim_t *active = g_hash_table_lookup(this->claims, key);
    if (g_hash_table_contains(this->voids, attempt)) {
        return;
    }
    if (active) {
        if (!equal_ids(&active->attempt, attempt)) {
            void_attempt(this, attempt, at_ms);
        }
        return;
    }
    Claim_t *claim = g_new0(Claim_t, 1);
    claim->key = *key;
    claim->attempt = *attempt;
    claim->at_ms = at_ms;
    g_hash_table_insert(this->claims, &claim->key, claim);
}

static void
fold_release(ClaimIndex_t *this, const ClaimId_t *key,
             const ClaimId_t *attempt, gint64 at_ms)
{
    const Claim_t *active = g_hash_table_lookup(this->claims, key);
    void_attempt(this, attempt, at_ms);
    if (active && equal_ids(&active->attempt, attempt) && !active->ran) {
        g_hash_table_remove(this->claims, key);
    }
}

static void
fold_outcome(ClaimIndex_t *this, const ClaimId_t *key,
             const ClaimId_t *attempt)
{
    Claim_t *active = g_hash_table_lookup(this->claims, key);
    if (active && equal_ids(&active->attempt, attempt)) {
        active->ran = TRUE;
    }
}

static void
fold_entry(ClaimIndex_t *this, const Wt__ClaimEntry *entry, gint64 at_ms)
{
    if (entry->key.len != CLAIM_ID_BYTES ||
        entry->attempt.len != CLAIM_ID_BYTES) {
        return;
    }
    const ClaimId_t *key = (const ClaimId_t *)entry->key.data;
    const ClaimId_t *attempt = (const ClaimId_t *)entry->attempt.data;
    switch (entry->kind) {
    case WT__CLAIM_KIND__CLAIM:
        fold_claim(this, key, attempt, at_ms);
        break;
    case WT__CLAIM_KIND__RELEASE:
        fold_release(this, key, attempt, at_ms);
        break;
    case WT__CLAIM_KIND__OUTCOME:
        fold_outcome(this, key, attempt);
        break;
    default:
        break;
    }
}

void
ClaimIndex_fold(ClaimIndex_t *this, const Wt__ClaimRecord *record)
{
    for (size_t i = 0; i < record->n_entries; i++) {
        fold_entry(this, record->entries[i], record->appended_ms);
    }
}

Wt__ClaimVerdict
ClaimIndex_verdict(const ClaimIndex_t *this, const ClaimId_t *key,
                   const ClaimId_t *attempt)
{
    const Claim_t *active = g_hash_table_lookup(this->claims, key);
    if (active && equal_ids(&active->attempt, attempt)) {
        return WT__CLAIM_VERDICT__GRANTED;
    }
    return active && active->ran ? WT__CLAIM_VERDICT__ALREADY_RAN
                                 : WT__CLAIM_VERDICT__IN_DOUBT;
}

gboolean
ClaimIndex_hasClaim(const ClaimIndex_t *this, const ClaimId_t *key)
{
    return g_hash_table_contains(this->claims, key);
}

static gboolean
is_expired_claim(gpointer key, gpointer claim, gpointer before_ms)
{
    (void)key;
    return ((const Claim_t *)claim)->at_ms < *(gint64 *)before_ms;
}

static gboolean
is_expired_void(gpointer attempt, gpointer entry, gpointer before_ms)
{
    (void)attempt;
    return ((const VoidAttempt_t *)entry)->at_ms < *(gint64 *)before_ms;
}

void
ClaimIndex_expire(ClaimIndex_t *this, gint64 before_ms)
{
    g_hash_table_foreach_remove(this->claims, is_expired_claim, &before_ms);
    g_hash_table_foreach_remove(this->voids, is_expired_void, &before_ms);
}

guint
ClaimIndex_size(const ClaimIndex_t *this)
{
    return g_hash_table_size(this->claims);
}
