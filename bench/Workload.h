#ifndef HEADER_Workload
#define HEADER_Workload
/**
 * DOC: Workload
 *
 * Generates seeded requests that resemble the users' load. A prompt has three
 * levels: a customer's preamble, the history of a member or match, and a
 * question. Customers and histories follow a Zipf distribution, so a small
 * number of them receives most requests.
 */
#include <glib.h>

/**
 * struct LoadProfile_t - parameters of a workload
 * @name: name on the command line
 * @customers: number of customers
 * @histories: number of histories per customer
 * @preamble_tokens: length of a preamble
 * @history_tokens: mean length of a history
 * @question_tokens: length of a question
 * @answer_tokens: mean length of an answer
 * @customer_skew: Zipf exponent over customers
 * @history_skew: Zipf exponent over a customer's histories
 * @deadline_ms: deadline of a request, 0 for none
 * @urgent_percent: share of requests with the top priority
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
} LoadProfile_t;

/**
 * struct LoadRequest_t - one generated request
 * @body: JSON
 * @seed: seed from which an engine stand-in derives the answer
 * @customer: number of the customer
 * @tokens: length of the answer
 * @urgent: has the top priority
 */
typedef struct {
    GString *body;
    guint64 seed;
    guint customer;
    guint tokens;
    gboolean urgent;
} LoadRequest_t;

/** struct Workload_t - opaque */
typedef struct Workload Workload_t;

/** Workload_findProfile() - find a profile by name, or NULL */
const LoadProfile_t *Workload_findProfile(const char *name);

/** Workload_create() - start a sequence of requests; equal seeds give equal
 * sequences */
Workload_t *Workload_create(const LoadProfile_t *profile, const char *model,
                            guint32 seed);

/** Workload_destroy() - free it */
void Workload_destroy(Workload_t *this);

/** Workload_createRequest() - generate the next request */
LoadRequest_t *Workload_createRequest(Workload_t *this);

/** Workload_drawGapUs() - time to the next arrival of a Poisson process;
 * @rate is in arrivals a second */
gint64 Workload_drawGapUs(Workload_t *this, double rate);

/** Workload_shiftHistories() - replace all histories by new ones, so that the
 * popular prefixes change */
void Workload_shiftHistories(Workload_t *this);

/** LoadRequest_destroy() - free a request */
void LoadRequest_destroy(LoadRequest_t *this);

#endif
