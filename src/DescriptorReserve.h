#ifndef HEADER_DescriptorReserve
#define HEADER_DescriptorReserve
/**
 * DOC: DescriptorReserve
 *
 * Keeps some descriptors of the process from callers, who would take all that
 * the system allows, for connections to upstreams, peers and the store. A
 * router that reads a request and has no descriptor left for it could only
 * refuse it, and would take its upstream for unreachable. Idle callers give up
 * descriptors for the reserve.
 */
#include <event2/event.h>
#include <glib.h>

/** Descriptors kept; fewer where the system allows few. */
#define DESCRIPTOR_RESERVE_MAX 32

/**
 * DescriptorReserve_await() - wait until that many descriptors can be opened
 * @error: WT_ERROR_DESCRIPTORS
 *
 * Blocks. For what ends the process if it gets none.
 *
 * Return: FALSE if the router is told to stop
 */
gboolean DescriptorReserve_await(guint wanted, GError **error);

/** DescriptorReserve_init() - open the reserve; once per process */
void DescriptorReserve_init(struct event_base *base);

/**
 * DescriptorSource_t - free descriptors that are used for less
 * @wanted: number of descriptors
 *
 * Return: number of those freed
 */
typedef guint (*DescriptorSource_t)(guint wanted);

/** DescriptorReserve_setSource() - where the reserve takes descriptors from if
 * none is free
 * @source: may be NULL */
void DescriptorReserve_setSource(DescriptorSource_t source);

/** DescriptorReserve_clear() - close the reserve */
void DescriptorReserve_clear(void);

/**
 * DescriptorReserve_release() - make sure that one descriptor can be opened
 *
 * Call it before each connection that the router opens itself. The reserve is
 * filled again as soon as descriptors are free.
 *
 * Return: FALSE if there is none, and none in the reserve
 */
gboolean DescriptorReserve_release(void);

/** DescriptorReserve_isShort() - whether a part of the reserve is in use, so
 * that connections should not be kept for later requests */
gboolean DescriptorReserve_isShort(void);

/** DescriptorReserve_missing() - number of descriptors that the reserve lacks
 */
guint DescriptorReserve_missing(void);

#endif
