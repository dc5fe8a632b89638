#ifndef HEADER_EstimateError
#define HEADER_EstimateError
/**
 * DOC: EstimateError
 *
 * Mean error of the estimates of first-token delays, by service. An estimate
 * is useful only together with its error.
 */
#include <glib.h>

/** struct EstimateError_t - opaque */
typedef struct EstimateError EstimateError_t;

/** EstimateError_create() - no error observed yet */
EstimateError_t *EstimateError_create(void);

/** EstimateError_destroy() - free it */
void EstimateError_destroy(EstimateError_t *this);

/** EstimateError_noteFirst() - a first token took @passed_us instead of
 * @expected_us */
void EstimateError_noteFirst(EstimateError_t *this, const char *service,
                             gint64 expected_us, gint64 passed_us);

/** EstimateError_spreadUs() - mean absolute error of the estimates for a
 * service */
gint64 EstimateError_spreadUs(const EstimateError_t *this,
                              const char *service);

#endif
