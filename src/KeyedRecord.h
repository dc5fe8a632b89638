#ifndef HEADER_KeyedRecord
#define HEADER_KeyedRecord
/**
 * DOC: KeyedRecord
 *
 * One record of a topic with keys, and the form in which it stands in a log:
 * the key's length in one byte, the key, and what remains is the value.
 */
#include "StorePosition.h"

/** Longest key, in bytes */
#define KEYED_RECORD_KEY_MAX G_MAXUINT8

/**
 * struct KeyedRecord_t - one record
 * @key: what it is about
 * @value: NULL where the key was removed
 * @position: its place in the topic
 */
typedef struct {
    GString *key;
    GBytes *value;
    StorePosition_t position;
} KeyedRecord_t;

/** KeyedRecord_create() - @value is taken over */
KeyedRecord_t *KeyedRecord_create(const char *key, gsize key_length,
                                  GBytes *value, StorePosition_t position);

/** KeyedRecord_free() - free one record */
void KeyedRecord_free(gpointer record);

/** KeyedRecord_split() - from the bytes of a log; a record of an empty key
 * without a value where they are none */
KeyedRecord_t *KeyedRecord_split(GBytes *bytes, StorePosition_t position);

/** KeyedRecord_join() - the bytes for a log; a longer key is cut off
 * @value: NULL to remove the key */
GBytes *KeyedRecord_join(const char *key, GBytes *value);

#endif
