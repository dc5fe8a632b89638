#ifndef HEADER_StorePosition
#define HEADER_StorePosition
/**
 * DOC: StorePosition
 *
 * A place in a topic of the platform's store. An offset alone does not name
 * a record: a store that came back older gives it out again, so that of two
 * records the one of the later epoch is newer, whatever their offsets.
 */
#include <glib.h>

/**
 * struct StorePosition_t - a place
 * @epoch: of the store in which it was read (StoreEpoch.h)
 * @offset: counted from the topic's start
 */
typedef struct {
    guint64 epoch;
    guint64 offset;
} StorePosition_t;

/** StorePosition_compare() - below 0 where @a is older, 0 where they are the
 * same */
static inline gint
StorePosition_compare(StorePosition_t a, StorePosition_t b)
{
    if (a.epoch != b.epoch) {
        return a.epoch < b.epoch ? -1 : 1;
    }
    return (a.offset > b.offset) - (a.offset < b.offset);
}

/** StorePosition_plus() - so many records further on */
static inline StorePosition_t
StorePosition_plus(StorePosition_t at, guint64 count)
{
    return (StorePosition_t){at.epoch, at.offset + count};
}

#endif
