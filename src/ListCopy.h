#ifndef HEADER_ListCopy
#define HEADER_ListCopy
/**
 * DOC: ListCopy
 *
 * The newest record of each key of a topic, kept to be handed on to routers
 * that start. It is told page by page in the order of keys; each page also
 * tells what has changed of the keys before it, so that a list which takes
 * seconds is whole and new at its end, whichever routers it came from.
 */
#include "RecordSource.h"

/**
 * struct ListPlace_t - how far a list has come
 * @after: last key that is known; empty at the beginning
 * @from: all changes of keys up to @after are known before it
 */
typedef struct {
    const char *after;
    StorePosition_t from;
} ListPlace_t;

/**
 * struct ListPart_t - a page of the copy
 * @page: records that changed since the place asked for, then those behind
 *     it; @page.end is that of the copy
 * @reached: last key that is covered; of the copy
 */
typedef struct {
    KeyedPage_t page;
    const char *reached;
} ListPart_t;

/** struct ListCopy_t - opaque */
typedef struct ListCopy ListCopy_t;

/** ListCopy_create() - empty */
ListCopy_t *ListCopy_create(void);

/** ListCopy_destroy() - free it */
void ListCopy_destroy(ListCopy_t *this);

/** ListCopy_put() - the newest record of a key; one without a value removes
 * it */
void ListCopy_put(ListCopy_t *this, const KeyedRecord_t *record);

/** ListCopy_noteChange() - others have to be told of a record; so many of them
 * are kept */
void ListCopy_noteChange(ListCopy_t *this, const KeyedRecord_t *record);

/** ListCopy_begin() - changes are noted from here on */
void ListCopy_begin(ListCopy_t *this, StorePosition_t end);

/** ListCopy_count() - keys */
guint ListCopy_count(const ListCopy_t *this);

/**
 * ListCopy_read() - what follows a place
 * @most: bytes of records after which it ends; it has one record at the least
 * @out: its records are freed by the caller
 *
 * Return: FALSE where it is not known what has changed since then
 */
gboolean ListCopy_read(const ListCopy_t *this, const ListPlace_t *place,
                       gsize most, ListPart_t *out);

/**
 * ListCopy_since() - what has changed from a place of the topic on
 * @end: up to here the changes are told; of the copy's own end where all are
 * @most: bytes of records after which it ends
 * @out: KeyedRecord_t * of the copy, in their order
 *
 * Return: FALSE where it is not known
 */
gboolean ListCopy_since(const ListCopy_t *this, StorePosition_t from,
                        gsize most, GPtrArray *out, StorePosition_t *end);

#endif
