#ifndef HEADER_ListedUpstream
#define HEADER_ListedUpstream
/**
 * DOC: ListedUpstream
 *
 * One entry of the platform's list of upstreams, as a decoder fills it.
 */
#include "UpstreamSet.h"

/**
 * struct ListedUpstream_t - one entry of the list
 * @spec: where it is and what it serves
 * @incarnation: grows with each of its starts; 0 where it does not say
 * @leaving: it takes no new work
 * @weights: version that it has; empty where it has none
 */
typedef struct {
    UpstreamSpec_t spec;
    guint64 incarnation;
    gboolean leaving;
    GString *weights;
} ListedUpstream_t;

/**
 * ListedUpstreamDecode_t - read an entry
 * @value: as the list has it
 * @out: filled where it is good; cleared by ListedUpstream_clear()
 *
 * Return: FALSE where it names no upstream to use
 */
typedef gboolean (*ListedUpstreamDecode_t)(GBytes *value,
                                           ListedUpstream_t *out,
                                           GError **error);

/** ListedUpstream_init() - an empty entry that a decoder fills */
void ListedUpstream_init(ListedUpstream_t *this);

/** ListedUpstream_clear() - free what an entry holds */
void ListedUpstream_clear(ListedUpstream_t *this);

/** ListedUpstream_incarnation() - where an entry does not say which of its
 * starts it is of, there is one */
guint64 ListedUpstream_incarnation(const ListedUpstream_t *this);

/** ListedUpstream_hashPlace() - of all that it says but the weights */
guint64 ListedUpstream_hashPlace(const ListedUpstream_t *this);

#endif
