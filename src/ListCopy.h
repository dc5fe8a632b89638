#ifndef HEADER_ListCopy
#define HEADER_ListCopy
/**
 * DOC: ListCopy
 *
 * The newest record of each key of a topic, stored to be sent to routers that
 * start. The copy is read page by page in the order of keys. Each page also
 * contains the changes to keys of earlier pages, so that a list that takes
 * seconds to read is complete and current at its end, even if its pages came
 * from different routers.
 */
#include "RecordSource.h"

/**
 * struct ListCursor_t - progress of reading a list
 * @after: last key that was read; empty at the beginning
 * @from: the reader knows all changes before this position to keys up to
 *     @after
 */
typedef struct {
    const char *after;
    StorePosition_t from;
} ListCursor_t;

/**
 * struct ListPage_t - a page of the copy
 * @page: records that changed since the cursor, then those of the keys after
 *     the cursor; @page.end is the end of the copy
 * @reached: last key that the page covers; owned by the copy
 */
typedef struct {
    KeyedPage_t page;
    const char *reached;
} ListPage_t;

/** struct ListCopy_t - opaque */
typedef struct ListCopy ListCopy_t;

/** ListCopy_create() - create an empty copy */
ListCopy_t *ListCopy_create(void);

/** ListCopy_destroy() - free the copy */
void ListCopy_destroy(ListCopy_t *this);

/** ListCopy_put() - store the newest record of a key; a record without a value
 * removes the key */
void ListCopy_put(ListCopy_t *this, const KeyedRecord_t *record);

/** ListCopy_noteChange() - log a change for readers of the list; the oldest
 * change is dropped when the log is full */
void ListCopy_noteChange(ListCopy_t *this, const KeyedRecord_t *record);

/** ListCopy_startChanges() - start an empty log of changes at @end; the copy
 * can be read from now on */
void ListCopy_startChanges(ListCopy_t *this, StorePosition_t end);

/** ListCopy_countKeys() - number of keys */
guint ListCopy_countKeys(const ListCopy_t *this);

/**
 * ListCopy_readPage() - read the page that follows a cursor
 * @max_bytes: the page ends after the record that exceeds this size; it has at
 *     least one record if any key follows
 * @out: the caller frees its records
 *
 * Return: FALSE if the changes since the cursor are not known
 */
gboolean ListCopy_readPage(const ListCopy_t *this, const ListCursor_t *cursor,
                           gsize max_bytes, ListPage_t *out);

/**
 * ListCopy_readChanges() - read the changes from a position of the topic on
 * @max_bytes: reading stops after the change that exceeds this size
 * @out: KeyedRecord_t * owned by the copy, in the order of their positions
 * @end: set to the position of the first change that was left out; unchanged
 *     if all changes were read
 *
 * Return: FALSE if the changes since @from are not known
 */
gboolean ListCopy_readChanges(const ListCopy_t *this, StorePosition_t from,
                              gsize max_bytes, GPtrArray *out,
                              StorePosition_t *end);

#endif
