#ifndef HEADER_CustomerLimits
#define HEADER_CustomerLimits
/**
 * DOC: CustomerLimits
 *
 * Each customer's count of open requests on this router.
 */
#include <glib.h>

/** struct CustomerLimits_t - opaque */
typedef struct CustomerLimits CustomerLimits_t;

/** CustomerLimits_create() - nothing used; one router */
CustomerLimits_t *CustomerLimits_create(void);

/** CustomerLimits_destroy() - free it */
void CustomerLimits_destroy(CustomerLimits_t *this);

/**
 * CustomerLimits_enter() - count a new request
 * @name: the customer
 * @most: that may be open
 *
 * Return: TRUE where it may enter; CustomerLimits_leave() is owed then
 */
gboolean CustomerLimits_enter(CustomerLimits_t *this, const char *name,
                              guint most);

/** CustomerLimits_leave() - a request has ended */
void CustomerLimits_leave(CustomerLimits_t *this, const char *name);

/** CustomerLimits_open() - a customer's open requests */
guint CustomerLimits_open(const CustomerLimits_t *this, const char *name);

#endif
