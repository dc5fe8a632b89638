#ifndef HEADER_ListedUpstream
#define HEADER_ListedUpstream
/**
 * DOC: ListedUpstream
 *
 * One decoded entry of the platform's list of upstreams.
 */
#include "UpstreamSet.h"

/**
 * struct ListedUpstream_t - one entry of the list
 * @spec: address, hall, region, role, slots and the targets that it serves
 * @incarnation: increases with each start of the upstream; 0 if not given
 * @leaving: the upstream accepts no new requests
 * @weights: version of the loaded weights; empty if there are none
 * @software: version of the upstream's software; empty if not given
 */
typedef struct {
    UpstreamSpec_t spec;
    guint64 incarnation;
    gboolean leaving;
    GString *weights;
    GString *software;
} ListedUpstream_t;

/**
 * ListedUpstreamDecode_t - decode an entry of the list
 * @value: the entry as stored in the list
 * @out: initialized by the caller, who also clears it; filled on success
 *
 * Return: FALSE if the entry is not a valid upstream
 */
typedef gboolean (*ListedUpstreamDecode_t)(GBytes *value,
                                           ListedUpstream_t *out,
                                           GError **error);

/** ListedUpstream_init() - prepare an empty entry for a decoder */
void ListedUpstream_init(ListedUpstream_t *this);

/** ListedUpstream_clear() - free the fields of an entry */
void ListedUpstream_clear(ListedUpstream_t *this);

/** ListedUpstream_incarnation() - the entry's incarnation, 1 if not given */
guint64 ListedUpstream_incarnation(const ListedUpstream_t *this);

/** ListedUpstream_hashWithoutWeights() - hash of address, hall, leaving,
 * incarnation, software and targets */
guint64 ListedUpstream_hashWithoutWeights(const ListedUpstream_t *this);

#endif
