#ifndef HEADER_CustomerLimits
#define HEADER_CustomerLimits
/**
 * DOC: CustomerLimits
 *
 * Each customer's request rate and count of open requests on this router.
 * The router enforces its share of the declared limits.
 */
#include <glib.h>

#include "Declarations.h"
#include "Refusal.h"

/** struct CustomerLimits_t - opaque */
typedef struct CustomerLimits CustomerLimits_t;

/** CustomerLimits_create() - nothing used; one router */
CustomerLimits_t *CustomerLimits_create(void);

/** CustomerLimits_destroy() - free it */
void CustomerLimits_destroy(CustomerLimits_t *this);

/**
 * CustomerLimits_enter() - count a new request
 * @name: the customer
 * @spec: its limits
 * @refusal: set where it may not enter
 *
 * Return: TRUE where it may; CustomerLimits_leave() is owed then
 */
gboolean CustomerLimits_enter(CustomerLimits_t *this, const char *name,
                              const Customer_t *spec, gint64 now_ms,
                              Refusal_t *refusal);

/** CustomerLimits_leave() - a request has ended */
void CustomerLimits_leave(CustomerLimits_t *this, const char *name);

/** CustomerLimits_open() - a customer's open requests */
guint CustomerLimits_open(const CustomerLimits_t *this, const char *name);

#endif
