#ifndef HEADER_Json
#define HEADER_Json
/**
 * DOC: Json
 *
 * Helpers to parse JSON with jansson and to write it into a GString.
 */
#include <glib.h>
#include <jansson.h>

/** Levels of nested values that are parsed */
#define JSON_DEPTH_MAX 128

/**
 * Json_appendString() - append text as a quoted JSON string
 * @out: the string is appended here, with its quotes
 * @text: UTF-8
 * @length: bytes of @text, or -1 if it is terminated by NUL
 *
 * Text that is not UTF-8 is appended as the empty string.
 */
void Json_appendString(GString *out, const char *text, gssize length);

/**
 * Json_parse() - parse a text that is one JSON object
 * @length: bytes of @data
 * @error: WT_ERROR_BAD_BODY with line and column
 *
 * Duplicate keys are rejected, since JSON parsers differ on which value wins.
 * Values nested more than JSON_DEPTH_MAX levels deep are rejected, so that the
 * parser needs little of the stack.
 *
 * Return: a new reference, or NULL
 */
json_t *Json_parse(const char *data, size_t length, GError **error);

/**
 * Json_parseValue() - parse a text that is one JSON value of any type
 * @length: bytes of @data
 * @depth_max: levels of nested values that are parsed
 * @error: as of Json_parse()
 *
 * Return: a new reference, or NULL
 */
json_t *Json_parseValue(const char *data, size_t length, guint depth_max,
                        GError **error);

/**
 * Json_skipString() - where a string in a JSON text ends
 * @at: index of its first quote
 *
 * Return: the index of the first byte behind it, from @length on if it has no
 * end
 */
size_t Json_skipString(const char *data, size_t length, size_t at);

/**
 * Json_hasMoreValues() - whether a JSON text may hold more values than a
 * number; the tree of a text takes some hundred bytes for each, however short
 * @length: bytes of @data
 */
gboolean Json_hasMoreValues(const char *data, size_t length, gsize most);

/**
 * Json_parseRepaired() - parse a text that is one JSON object, in which other
 * programs may have written some of the strings
 * @length: bytes of @data
 * @error: as of Json_parse()
 *
 * Strings may contain NUL. Bytes that are not UTF-8 and escaped surrogates
 * without their other half are replaced by U+FFFD.
 *
 * Return: a new reference, or NULL
 */
json_t *Json_parseRepaired(const char *data, size_t length, GError **error);

/**
 * Json_getString() - value of a string member
 *
 * Return: text owned by @object, or NULL if the member is missing or has
 * another type
 */
const char *Json_getString(const json_t *object, const char *key);

/**
 * Json_getInteger() - value of an integer member
 *
 * Return: the number, or @fallback if the member is missing or has another
 * type
 */
gint64 Json_getInteger(const json_t *object, const char *key, gint64 fallback);

#endif
