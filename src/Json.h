#ifndef HEADER_Json
#define HEADER_Json
/**
 * DOC: Json
 *
 * The few steps between jansson and GString that every module needs.
 */
#include <glib.h>
#include <jansson.h>

/**
 * Json_appendString() - append text as a quoted JSON string
 * @out: gets the string with its quotes
 * @text: UTF-8
 * @length: bytes of @text, or -1 when it ends at its NUL
 *
 * Text that is not UTF-8 is appended as the empty string.
 */
void Json_appendString(GString *out, const char *text, gssize length);

/**
 * Json_parse() - parse one object
 * @data: bytes of the text
 * @length: how many
 * @error: WT_ERROR_BAD_BODY with the place of the fault
 *
 * Repeated keys are refused, since readers differ on which one counts.
 *
 * Return: a new reference, or NULL
 */
json_t *Json_parse(const char *data, size_t length, GError **error);

/**
 * Json_text() - a member that is a string
 *
 * Return: the text inside @object, or NULL where it is missing or of
 * another type
 */
const char *Json_text(const json_t *object, const char *key);

/**
 * Json_integer() - a member that is an integer
 *
 * Return: the number, or @fallback where it is missing or of another type
 */
gint64 Json_integer(const json_t *object, const char *key, gint64 fallback);

#endif
