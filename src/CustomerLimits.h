#ifndef HEADER_CustomerLimits
#define HEADER_CustomerLimits
/**
 * DOC: CustomerLimits
 *
 * Limits the number of open requests of each customer on this router.
 */
#include <glib.h>

/** struct CustomerLimits_t - opaque */
typedef struct CustomerLimits CustomerLimits_t;

/** CustomerLimits_create() - start without open requests */
CustomerLimits_t *CustomerLimits_create(void);

/** CustomerLimits_destroy() - free it */
void CustomerLimits_destroy(CustomerLimits_t *this);

/**
 * CustomerLimits_acquire() - count a new request
 * @name: the customer
 * @max_open: most requests that the customer may have open
 *
 * Return: TRUE if the request is admitted; the caller then has to call
 * CustomerLimits_release() when the request ends
 */
gboolean CustomerLimits_acquire(CustomerLimits_t *this, const char *name,
                                guint max_open);

/** CustomerLimits_release() - record that a request has ended */
void CustomerLimits_release(CustomerLimits_t *this, const char *name);

/** CustomerLimits_openRequests() - number of a customer's open requests */
guint CustomerLimits_openRequests(const CustomerLimits_t *this,
                                  const char *name);

#endif
