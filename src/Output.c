#include "Output.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "Json.h"

static json_t *json_of_message(const ProtobufCMessage *message);

static json_t *
json_of_bytes(const ProtobufCBinaryData *bytes)
{
    GString *hex = g_string_new(NULL);
    for (size_t i = 0; i < bytes->len; i++) {
        g_string_append_printf(hex, "%02x", bytes->data[i]);
    }
    json_t *value = json_stringn(hex->str, hex->len);
    g_string_free(hex, TRUE);
    return value;
}

static json_t *
json_of_enum(const ProtobufCFieldDescriptor *field, int value)
{
    const ProtobufCEnumValue *name =
        protobuf_c_enum_descriptor_get_value(field->descriptor, value);
    return name ? json_string(name->name) : json_integer(value);
}

static json_t *
json_of_value(const ProtobufCFieldDescriptor *field, const void *field_value)
{
    switch (field->type) {
    case PROTOBUF_C_TYPE_UINT32:
        return json_integer(*(const guint32 *)field_value);
    case PROTOBUF_C_TYPE_INT64:
    case PROTOBUF_C_TYPE_UINT64:
        return json_integer(*(const json_int_t *)field_value);
    case PROTOBUF_C_TYPE_DOUBLE:
        return json_real(*(const double *)field_value);
    case PROTOBUF_C_TYPE_BOOL:
        return json_boolean(*(const protobuf_c_boolean *)field_value);
    case PROTOBUF_C_TYPE_ENUM:
        return json_of_enum(field, *(const int *)field_value);
    case PROTOBUF_C_TYPE_STRING:
        return json_string(*(char *const *)field_value);
    case PROTOBUF_C_TYPE_BYTES:
        return json_of_bytes(field_value);
    case PROTOBUF_C_TYPE_MESSAGE:
        return json_of_message(*(ProtobufCMessage *const *)field_value);
    default:
        g_assert_not_reached();
    }
}

static gsize
value_size(const ProtobufCFieldDescriptor *field)
{
    switch (field->type) {
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
        return sizeof(guint32);
    case PROTOBUF_C_TYPE_BYTES:
        return sizeof(ProtobufCBinaryData);
    case PROTOBUF_C_TYPE_BOOL:
        return sizeof(protobuf_c_boolean);
    default:
        return sizeof(void *);
    }
}

static json_t *
json_of_field(const ProtobufCMessage *message,
              const ProtobufCFieldDescriptor *field)
{
    const char *field_value = (const char *)message + field->offset;
    if (field->label != PROTOBUF_C_LABEL_REPEATED) {
        gboolean is_unset = field->type == PROTOBUF_C_TYPE_MESSAGE &&
                            *(void *const *)field_value == NULL;
        return is_unset ? NULL : json_of_value(field, field_value);
    }
    const char *values = *(char *const *)field_value;
    size_t count =
        *(const size_t *)((const char *)message + field->quantifier_offset);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(
            list, json_of_value(field, values + i * value_size(field)));
    }
    return list;
}

static json_t *
json_of_message(const ProtobufCMessage *message)
{
    json_t *object = json_object();
    for (guint i = 0; i < message->descriptor->n_fields; i++) {
        const ProtobufCFieldDescriptor *field =
            &message->descriptor->fields[i];
        json_t *value = json_of_field(message, field);
        if (value) {
            json_object_set_new(object, field->name, value);
        }
    }
    return object;
}

static void
append_scalar(GString *line, const json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
    g_string_append(line, text);
    free(text);
}

static void
append_object(GString *line, json_t *object)
{
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach(object, key, value)
    {
        if (json_is_array(value) && json_array_size(value) == 0) {
            continue;
        }
        g_string_append_printf(line, "%s%s=", line->len > 0 ? " " : "", key);
        append_scalar(line, value);
    }
}

/* Prints one line with all scalars, then one line per list element. */
static void
print_text(json_t *root)
{
    GString *line = g_string_new(NULL);
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach(root, key, value)
    {
        if (json_is_array(value)) {
            continue;
        }
        g_string_append_printf(line, "%s%s=", line->len > 0 ? " " : "", key);
        append_scalar(line, value);
    }
    if (line->len > 0) {
        puts(line->str);
    }
    json_object_foreach(root, key, value)
    {
        for (size_t i = 0; i < json_array_size(value); i++) {
            g_string_truncate(line, 0);
            append_object(line, json_array_get(value, i));
            puts(line->str);
        }
    }
    g_string_free(line, TRUE);
}

void
Output_print(const ProtobufCMessage *message, OutputForm_t form)
{
    json_t *root = json_of_message(message);
    if (form == OUTPUT_JSON) {
        char *text = json_dumps(root, JSON_INDENT(2));
        puts(text);
        free(text);
    }
    else {
        print_text(root);
    }
    json_decref(root);
}
