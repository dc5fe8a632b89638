#ifndef HEADER_Workload
#define HEADER_Workload
/**
 * DOC: Workload
 *
 * Seeded requests like the users' own: prompts of three levels (a customer's
 * preamble, a member's or match's history, a question), customers and
 * histories drawn by a Zipf law, so that a few are very hot.
 */
#include <glib.h>

/**
 * struct Profile_t - the shape of a workload
 * @name: as on the command line
 * @customers: how many
 * @histories: of each customer
 * @preamble_tokens: length of a preamble
 * @history_tokens: mean length of a history
 * @question_tokens: length of a question
 * @answer_tokens: mean length of an answer
 * @customer_skew: exponent of the Zipf law over customers
 * @history_skew: exponent of the Zipf law over a customer's histories
 * @deadline_ms: of a request, 0 for none
 * @urgent_percent: requests of the top priority among 100
 */
typedef struct {
    const char *name;
    guint customers;
    guint histories;
    guint preamble_tokens;
    guint history_tokens;
    guint question_tokens;
    guint answer_tokens;
    double customer_skew;
    double history_skew;
    guint deadline_ms;
    guint urgent_percent;
} Profile_t;

/**
 * struct Asked_t - one request
 * @body: JSON
 * @seed: of the answer that an engine stand-in gives
 * @customer: number of the customer
 * @tokens: length of the answer
 * @urgent: asks for the top priority
 */
typedef struct {
    GString *body;
    guint64 seed;
    guint customer;
    guint tokens;
    gboolean urgent;
} Asked_t;

/** struct Workload_t - opaque */
typedef struct Workload Workload_t;

/** Workload_profile() - find a profile by name, or NULL */
const Profile_t *Workload_profile(const char *name);

/** Workload_create() - a stream of requests; equal seeds, equal requests */
Workload_t *Workload_create(const Profile_t *profile, const char *model,
                            guint32 seed);

/** Workload_destroy() - free it */
void Workload_destroy(Workload_t *this);

/** Workload_next() - the next request */
Asked_t *Workload_next(Workload_t *this);

/** Workload_gapUs() - time to the next arrival at a mean rate a second */
gint64 Workload_gapUs(Workload_t *this, double rate);

/** Workload_shift() - other histories become the hot ones from now on */
void Workload_shift(Workload_t *this);

/** Asked_destroy() - free a request */
void Asked_destroy(Asked_t *this);

#endif
