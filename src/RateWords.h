#ifndef HEADER_RateWords
#define HEADER_RateWords
/**
 * DOC: RateWords
 *
 * What a router knows of the subjects of limits by the words of their keepers
 * (RateKeeper.h), and what it has let in since. It is forgotten a minute after
 * it was last used: upstreams come and go under new names for as long as a
 * router runs.
 */
#include "OwnShare.h"
#include "RateLimits.h"
#include "RateLinks.h"

/**
 * struct RateWord_t - of one subject
 * @share: what this router may let in by itself
 * @open: by the last word much was left
 * @empty: by the last word nothing was left
 * @word_ms: when that came, 0 for never
 * @version: of the limit that it was about
 * @told_ms: when a report was sent that is not answered, or 0
 * @untold: let in since the last report
 * @used_ms: when it was last looked up
 */
typedef struct {
    OwnShare_t share;
    gboolean open;
    gboolean empty;
    gint64 word_ms;
    guint64 version;
    gint64 told_ms;
    double untold;
    gint64 used_ms;
} RateWord_t;

/** struct RateWords_t - opaque */
typedef struct RateWords RateWords_t;

/** RateWords_create() - nothing is known */
RateWords_t *RateWords_create(void);

/** RateWords_destroy() - free it */
void RateWords_destroy(RateWords_t *this);

/** RateWords_of() - of a subject, made where there is none */
RateWord_t *RateWords_of(RateWords_t *this, const char *subject);

/** RateWords_find() - of a subject, or NULL */
RateWord_t *RateWords_find(const RateWords_t *this, const char *subject);

/** RateWord_isPressed() - whether nothing was left lately */
gboolean RateWord_isPressed(const RateWord_t *this);

/** RateWord_isOpen() - whether requests may be let in and told afterwards */
gboolean RateWord_isOpen(const RateWord_t *this, const RateLimit_t *limit,
                         gint64 now_ms);

/** RateWord_note() - a keeper's word came */
void RateWord_note(RateWord_t *this, gboolean open, double left);

/** RateWord_claim() - what to ask for a request; takes what was not told yet
 * with it */
RateClaim_t RateWord_claim(RateWord_t *this, const RateRequest_t *request);

#endif
