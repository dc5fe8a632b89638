#include "OnceGuard.h"

#include <sodium.h>
#include <string.h>

#include "Clock.h"

#define UUID_LENGTH 36
#define UUID_VERSION_IDX 14
/* A version 7 UUID begins with 48 bits of time: 12 hex digits. */
#define TIME_DIGITS 12
/* How far a caller's clock may be ahead of this router's. */
#define CLOCK_MARGIN_MS 30000

/* A claim times out this long before the request's deadline, so that the
 * refusal can still give the claim as its reason. */
#define CLAIM_MARGIN_MS 50

typedef enum {
    GUARD_IDLE,
    GUARD_CLAIMING,
    GUARD_GRANTED,
    GUARD_DENIED,
} GuardState_t;

struct OnceGuard {
    OnceGuardSpec_t spec;
    ClaimId_t key;
    ClaimId_t attempt;
    gint64 key_time_ms;
    GuardState_t state;
    gboolean ended; /* the request has ended, its claim is still open */
    OnceGuardDone_t done;
    void *data;
};

static gboolean
is_uuid7(const char *text)
{
    if (strlen(text) != UUID_LENGTH || text[UUID_VERSION_IDX] != '7') {
        return FALSE;
    }
    for (guint i = 0; i < UUID_LENGTH; i++) {
        gboolean dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : !g_ascii_isxdigit(text[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

static gint64
time_of_uuid7(const char *text)
{
    gint64 time_ms = 0;
    guint digit_count = 0;
    for (const char *at = text; digit_count < TIME_DIGITS; at++) {
        if (*at != '-') {
            time_ms = time_ms * 16 + g_ascii_xdigit_value(*at);
            digit_count++;
        }
    }
    return time_ms;
}

static void
hash_text(crypto_generichash_state *state, const char *text)
{
    crypto_generichash_update(state, (const guint8 *)text, strlen(text) + 1);
}

/* Lowers the key's hex digits, as upper and lower case mean the same UUID. */
static void
hash_key(const OnceGuardSpec_t *spec, ClaimId_t *key)
{
    g_autofree char *lower = g_ascii_strdown(spec->key, -1);
    crypto_generichash_state state;
    crypto_generichash_init(&state, NULL, 0, CLAIM_ID_BYTES);
    hash_text(&state, spec->customer);
    hash_text(&state, spec->target);
    hash_text(&state, lower);
    crypto_generichash_final(&state, key->bytes, CLAIM_ID_BYTES);
}

OnceGuard_t *
OnceGuard_create(const OnceGuardSpec_t *spec, Refusal_t *refusal)
{
    if (*spec->key == '\0') {
        *refusal = REFUSAL_KEY_REQUIRED;
        return NULL;
    }
    gint64 now_ms = Clock_wallMs();
    gint64 time_ms = is_uuid7(spec->key) ? time_of_uuid7(spec->key) : 0;
    if (time_ms < now_ms - spec->horizon_ms ||
        time_ms > now_ms + CLOCK_MARGIN_MS) {
        *refusal = REFUSAL_BAD_KEY;
        return NULL;
    }
    OnceGuard_t *this = g_new0(OnceGuard_t, 1);
    this->spec = *spec;
    this->key_time_ms = time_ms;
    hash_key(spec, &this->key);
    randombytes_buf(this->attempt.bytes, CLAIM_ID_BYTES);
    return this;
}

static void
report_denied(OnceGuard_t *this, Wt__ClaimVerdict verdict)
{
    OnceGuardDone_t done = this->done;
    this->state = GUARD_DENIED;
    switch (verdict) {
    case WT__CLAIM_VERDICT__ALREADY_RAN:
        done(FALSE, REFUSAL_ALREADY_RAN, RUN_DONE, this->data);
        break;
    case WT__CLAIM_VERDICT__IN_DOUBT:
        done(FALSE, REFUSAL_IN_DOUBT, RUN_MAYBE, this->data);
        break;
    case WT__CLAIM_VERDICT__NOT_COVERED:
        done(FALSE, REFUSAL_BAD_KEY, RUN_NOT, this->data);
        break;
    default:
        done(FALSE, REFUSAL_CLAIM_UNDECIDED, RUN_NOT, this->data);
        break;
    }
}

static void
on_claimed(Wt__ClaimVerdict verdict, void *data)
{
    OnceGuard_t *this = data;
    gboolean granted = verdict == WT__CLAIM_VERDICT__GRANTED;
    this->state = granted ? GUARD_GRANTED : GUARD_DENIED;
    if (this->ended) {
        OnceGuard_end(this, RUN_NOT);
        return;
    }
    if (granted) {
        this->done(TRUE, REFUSAL_COUNT, RUN_NOT, this->data);
        return;
    }
    report_denied(this, verdict);
}

void
OnceGuard_claim(OnceGuard_t *this, OnceGuardDone_t done, void *data)
{
    this->state = GUARD_CLAIMING;
    this->done = done;
    this->data = data;
    Claims_acquire(this->spec.claims, &this->key, &this->attempt,
                   this->key_time_ms, this->spec.deadline_ms - CLAIM_MARGIN_MS,
                   on_claimed, this);
}

void
OnceGuard_end(OnceGuard_t *this, RunState_t run)
{
    if (this->state == GUARD_CLAIMING) {
        this->ended = TRUE;
        return;
    }
    if (this->state == GUARD_GRANTED && run == RUN_NOT) {
        Claims_record(this->spec.claims, WT__CLAIM_KIND__RELEASE, &this->key,
                      &this->attempt);
    }
    else if (this->state == GUARD_GRANTED && run == RUN_DONE) {
        Claims_record(this->spec.claims, WT__CLAIM_KIND__OUTCOME, &this->key,
                      &this->attempt);
    }
    g_free(this);
}
