#ifndef HEADER_JsonParts
#define HEADER_JsonParts
/**
 * DOC: JsonParts
 *
 * A long JSON object that is read in parts: the values in the lists that are
 * its members are parsed and freed one after the other, as the tree of the
 * whole text would take many times the text's memory.
 */
#include <glib.h>
#include <jansson.h>

/** struct JsonParts_t - opaque */
typedef struct JsonParts JsonParts_t;

/** typedef JsonPartRead_t - takes a value of a list, which is freed after */
typedef void (*JsonPartRead_t)(const json_t *value, void *data);

/**
 * JsonParts_create() - parse all of the object but the values in its lists
 * @text: must outlive the object
 * @error: as of Json_parse()
 *
 * Return: the object, or NULL
 */
JsonParts_t *JsonParts_create(const char *text, gsize length, GError **error);

/** JsonParts_destroy() - free the object */
void JsonParts_destroy(JsonParts_t *this);

/** JsonParts_root() - the members that are not lists */
const json_t *JsonParts_root(const JsonParts_t *this);

/**
 * JsonParts_readList() - parse the values of a member in their order
 * @key: a member that is missing or no list has no values
 * @error: as of Json_parse(); values before it have been read
 */
gboolean JsonParts_readList(JsonParts_t *this, const char *key,
                            JsonPartRead_t read, void *data, GError **error);

/** JsonParts_checkRest() - whether the lists that were not read are valid */
gboolean JsonParts_checkRest(JsonParts_t *this, GError **error);

#endif
