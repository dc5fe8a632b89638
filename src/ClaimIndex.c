#include "ClaimIndex.h"

#include <string.h>

typedef struct {
    ClaimId_t key;
    ClaimId_t attempt;
    gint64 at_ms;
    gboolean ran;
} Claim_t;

typedef struct {
    ClaimId_t attempt;
    gint64 at_ms;
} Void_t;

struct ClaimIndex {
    GHashTable *claims; /* key -> Claim_t */
    GHashTable *voids;  /* attempt -> Void_t */
};

static guint
hash_id(gconstpointer id)
{
    guint hash = 0;
    memcpy(&hash, id, sizeof(hash));
    return hash;
}

static gboolean
same_id(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, CLAIM_ID_BYTES) == 0;
}

ClaimIndex_t *
ClaimIndex_create(void)
{
    ClaimIndex_t *this = g_new0(ClaimIndex_t, 1);
    this->claims = g_hash_table_new_full(hash_id, same_id, NULL, g_free);
    this->voids = g_hash_table_new_full(hash_id, same_id, NULL, g_free);
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
make_void(ClaimIndex_t *this, const ClaimId_t *attempt, gint64 at_ms)
{
    Void_t *entry = g_new0(Void_t, 1);
    entry->attempt = *attempt;
    entry->at_ms = at_ms;
    g_hash_table_replace(this->voids, &entry->attempt, entry);
}

static void
fold_claim(ClaimIndex_t *this, const ClaimId_t *key, const ClaimId_t *attempt,
           gint64 at_ms)
{
    const Claim_t *standing = g_hash_table_lookup(this->claims, key);
    if (g_hash_table_contains(this->voids, attempt)) {
        return;
    }
    if (standing) {
        if (!same_id(&standing->attempt, attempt)) {
            make_void(this, attempt, at_ms);
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
    const Claim_t *standing = g_hash_table_lookup(this->claims, key);
    make_void(this, attempt, at_ms);
    if (standing && same_id(&standing->attempt, attempt) && !standing->ran) {
        g_hash_table_remove(this->claims, key);
    }
}

static void
fold_outcome(ClaimIndex_t *this, const ClaimId_t *key,
             const ClaimId_t *attempt)
{
    Claim_t *standing = g_hash_table_lookup(this->claims, key);
    if (standing && same_id(&standing->attempt, attempt)) {
        standing->ran = TRUE;
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
    const Claim_t *standing = g_hash_table_lookup(this->claims, key);
    if (standing && same_id(&standing->attempt, attempt)) {
        return WT__CLAIM_VERDICT__GRANTED;
    }
    return standing && standing->ran ? WT__CLAIM_VERDICT__ALREADY_RAN
                                     : WT__CLAIM_VERDICT__IN_DOUBT;
}

gboolean
ClaimIndex_stands(const ClaimIndex_t *this, const ClaimId_t *key)
{
    return g_hash_table_contains(this->claims, key);
}

static gboolean
is_old_claim(gpointer key, gpointer claim, gpointer before)
{
    (void)key;
    return ((const Claim_t *)claim)->at_ms < *(gint64 *)before;
}

static gboolean
is_old_void(gpointer attempt, gpointer entry, gpointer before)
{
    (void)attempt;
    return ((const Void_t *)entry)->at_ms < *(gint64 *)before;
}

void
ClaimIndex_expire(ClaimIndex_t *this, gint64 before_ms)
{
    g_hash_table_foreach_remove(this->claims, is_old_claim, &before_ms);
    g_hash_table_foreach_remove(this->voids, is_old_void, &before_ms);
}

guint
ClaimIndex_size(const ClaimIndex_t *this)
{
    return g_hash_table_size(this->claims);
}
