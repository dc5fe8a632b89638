#include "KeyedRecord.h"

#include <string.h>

/* U+FFFD in UTF-8. */
#define REPLACEMENT "\xEF\xBF\xBD"

KeyedRecord_t *
KeyedRecord_create(const char *key, gsize key_length, GBytes *value,
                   StorePosition_t position)
{
    KeyedRecord_t *record = g_new0(KeyedRecord_t, 1);
    record->key = g_string_new_len(key, (gssize)key_length);
    record->value = value;
    record->position = position;
    return record;
}

static gboolean
has_control_characters(const GString *text)
{
    for (gsize i = 0; i < text->len; i++) {
        if (g_ascii_iscntrl(text->str[i])) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
KeyedRecord_hasValidKey(const KeyedRecord_t *record)
{
    const GString *key = record->key;
    return key->len > 0 && g_utf8_validate_len(key->str, key->len, NULL) &&
           !has_control_characters(key) && !strstr(key->str, REPLACEMENT);
}

void
KeyedRecord_free(gpointer data)
{
    KeyedRecord_t *record = data;
    g_string_free(record->key, TRUE);
    if (record->value) {
        g_bytes_unref(record->value);
    }
    g_free(record);
}

KeyedRecord_t *
KeyedRecord_decode(GBytes *bytes, StorePosition_t position)
{
    gsize length = 0;
    const char *data = g_bytes_get_data(bytes, &length);
    gsize key_length = length > 0 ? (guint8)data[0] : 0;
    if (length < 1 + key_length) {
        return KeyedRecord_create("", 0, NULL, position);
    }
    gsize value_length = length - 1 - key_length;
    GBytes *value = value_length > 0
                        ? g_bytes_new(data + 1 + key_length, value_length)
                        : NULL;
    return KeyedRecord_create(data + 1, key_length, value, position);
}

GBytes *
KeyedRecord_encode(const char *key, GBytes *value)
{
    guint8 key_length = (guint8)MIN(strlen(key), KEYED_RECORD_KEY_MAX);
    gsize length = 0;
    const guint8 *bytes = value ? g_bytes_get_data(value, &length) : NULL;
    GByteArray *record = g_byte_array_new();
    g_byte_array_append(record, &key_length, 1);
    g_byte_array_append(record, (const guint8 *)key, key_length);
    if (length > 0) {
        g_byte_array_append(record, bytes, (guint)length);
    }
    return g_byte_array_free_to_bytes(record);
}
