#ifndef HEADER_StorePosition
#define HEADER_StorePosition
/**
 * DOC: StorePosition
 *
 * A position in a topic of the platform's store. An offset alone does not
 * identify a record, because a store that came back older assigns offsets
 * again. Of two records, the one of the later epoch is newer, whatever their
 * offsets.
 */
#include <glib.h>

/**
 * struct StorePosition_t - position of a record
 * @epoch: epoch of the store when the record was read (StoreEpoch.h)
 * @offset: counted from the topic's start
 */
typedef struct {
    guint64 epoch;
    guint64 offset;
} StorePosition_t;

/** StorePosition_compare() - negative if @a is older, 0 if they are equal */
static inline gint
StorePosition_compare(StorePosition_t a, StorePosition_t b)
{
    if (a.epoch != b.epoch) {
        return a.epoch < b.epoch ? -1 : 1;
    }
    return (a.offset > b.offset) - (a.offset < b.offset);
}

/** StorePosition_plus() - the position @count records after @at */
static inline StorePosition_t
StorePosition_plus(StorePosition_t at, guint64 count)
{
    return (StorePosition_t){at.epoch, at.offset + count};
}

#endif
