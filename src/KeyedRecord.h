#ifndef HEADER_KeyedRecord
#define HEADER_KeyedRecord
/**
 * DOC: KeyedRecord
 *
 * One record of a keyed topic, and its encoding in a plain log: the key's
 * length in one byte, the key, and the value in the remaining bytes.
 */
#include "StorePosition.h"

/** Longest key, in bytes */
#define KEYED_RECORD_KEY_MAX G_MAXUINT8

/**
 * struct KeyedRecord_t - one record
 * @key: a later record of the topic with the same key replaces this one
 * @value: NULL if the record removes the key
 * @position: of the record in the topic
 */
typedef struct {
    GString *key;
    GBytes *value;
    StorePosition_t position;
} KeyedRecord_t;

/** KeyedRecord_create() - a new record, which takes ownership of
 * @value */
KeyedRecord_t *KeyedRecord_create(const char *key, gsize key_length,
                                  GBytes *value, StorePosition_t position);

/**
 * KeyedRecord_hasValidKey() - whether the key can be a name
 *
 * A key is text without control characters. U+FFFD replaces what was no text,
 * so that different keys may show it.
 */
gboolean KeyedRecord_hasValidKey(const KeyedRecord_t *record);

/** KeyedRecord_free() - free one record */
void KeyedRecord_free(gpointer record);

/** KeyedRecord_decode() - decode the bytes of a log record; a record with an
 * empty key and no value if they are malformed */
KeyedRecord_t *KeyedRecord_decode(GBytes *bytes, StorePosition_t position);

/** KeyedRecord_encode() - encode a log record; a key longer than
 * KEYED_RECORD_KEY_MAX is truncated
 * @value: NULL to remove the key */
GBytes *KeyedRecord_encode(const char *key, GBytes *value);

#endif
