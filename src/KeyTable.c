#include "KeyTable.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "IniFile.h"
#include "Names.h"
#include "Problem.h"

#define NAME_MAX_LENGTH 64
/* Fits two 64-bit numbers and the words around them. */
#define DETAIL_SIZE 64

typedef struct {
    const char *suffix;
    gint64 factor;
} Unit_t;

typedef struct {
    const KeySpec_t *key;
    const char *value;
    void *slot;
    ProblemKind_t fault;
    const char *detail;
    char text[DETAIL_SIZE]; /* storage for a detail with numbers */
} Parse_t;

static const Unit_t duration_units[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}, {NULL, 0}};

static const Unit_t size_units[] = {
    {"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {NULL, 0}};

static const Unit_t no_units[] = {{"", 1}, {NULL, 0}};

gboolean
KeyTable_isValidName(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > NAME_MAX_LENGTH) {
        return FALSE;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(name[i]) && !strchr("-_.", name[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
set_fault(Parse_t *parse, ProblemKind_t fault, const char *detail)
{
    parse->fault = fault;
    parse->detail = detail;
    return FALSE;
}

static gboolean
parse_text(Parse_t *parse)
{
    *(GString **)parse->slot = g_string_new(parse->value);
    return TRUE;
}

static gboolean
parse_name(Parse_t *parse)
{
    if (!KeyTable_isValidName(parse->value)) {
        return set_fault(parse, PROBLEM_BAD_NAME, KEY_NAME_EXPECTED);
    }
    return parse_text(parse);
}

static void
free_string(gpointer string)
{
    g_string_free(string, TRUE);
}

static gboolean
parse_names(Parse_t *parse)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(free_string);
    *(GPtrArray **)parse->slot = names;
    g_auto(GStrv) parts = g_strsplit(parse->value, ",", -1);
    for (guint i = 0; parts[i]; i++) {
        const char *part = g_strstrip(parts[i]);
        if (*part == '\0') {
            continue;
        }
        if (!KeyTable_isValidName(part)) {
            return set_fault(parse, PROBLEM_BAD_NAME,
                             "expected names separated by commas");
        }
        g_ptr_array_add(names, g_string_new(part));
    }
    return TRUE;
}

/* Longest accepted text of a number with its unit; units have at most three
 * letters. */
#define NUMBER_MAX_LENGTH 64

/* Parses a decimal number, which may have a fraction and an exponent. Rejects
 * the other forms that strtod() accepts, such as "inf" or hex digits. */
static gboolean
read_decimal(const char *text, double *number, char **end)
{
    const char *digits = *text == '-' || *text == '+' ? text + 1 : text;
    gboolean is_hex = digits[0] == '0' && g_ascii_tolower(digits[1]) == 'x';
    if (is_hex || (!g_ascii_isdigit(*digits) && *digits != '.')) {
        return FALSE;
    }
    *number = g_ascii_strtod(text, end);
    return *end != text && isfinite(*number);
}

static gboolean
set_range_fault(Parse_t *parse)
{
    g_snprintf(parse->text, sizeof(parse->text),
               "expected %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
               parse->key->min, parse->key->max);
    return set_fault(parse, PROBLEM_OUT_OF_RANGE, parse->text);
}

/* Truncates a fraction of the smallest unit. Rounding up could exceed a limit
 * that was computed, such as a total divided by the number of routers. */
static gboolean
parse_number(Parse_t *parse, const Unit_t *units)
{
    char *end = NULL;
    double number = 0;
    if (strlen(parse->value) > NUMBER_MAX_LENGTH ||
        !read_decimal(parse->value, &number, &end)) {
        return set_fault(parse, PROBLEM_BAD_VALUE, "expected a number");
    }
    while (units->suffix && strcmp(units->suffix, end) != 0) {
        units++;
    }
    if (!units->suffix) {
        return set_fault(parse, PROBLEM_BAD_UNIT,
                         "unit is not valid for this key");
    }
    double value = number * (double)units->factor;
    if (value < (double)parse->key->min || value > (double)parse->key->max) {
        return set_range_fault(parse);
    }
    *(gint64 *)parse->slot = (gint64)value;
    return TRUE;
}

static gboolean
parse_integer(Parse_t *parse)
{
    return parse_number(parse, no_units);
}

static gboolean
parse_duration(Parse_t *parse)
{
    return parse_number(parse, duration_units);
}

static gboolean
parse_size(Parse_t *parse)
{
    return parse_number(parse, size_units);
}

static gboolean
read_address(const char *text, Address_t *address)
{
    unsigned char parsed[sizeof(struct in6_addr)];
    const char *colon = strrchr(text, ':');
    size_t length = colon ? (size_t)(colon - text) : 0;
    guint64 port = 0;
    if (length == 0 || length >= sizeof(address->host)) {
        return FALSE;
    }
    memcpy(address->host, text, length);
    address->host[length] = '\0';
    if (inet_pton(AF_INET, address->host, parsed) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16, &port,
                                    NULL)) {
        return FALSE;
    }
    address->port = (guint16)port;
    return TRUE;
}

static gboolean
parse_address(Parse_t *parse)
{
    return read_address(parse->value, parse->slot) ||
           set_fault(parse, PROBLEM_BAD_VALUE,
                     "expected an IP address and a port, IP:PORT");
}

static gboolean
parse_addresses(Parse_t *parse)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(Address_t));
    *(GArray **)parse->slot = addresses;
    g_auto(GStrv) parts = g_strsplit(parse->value, ",", -1);
    for (guint i = 0; parts[i]; i++) {
        Address_t address = {{0}, 0};
        const char *part = g_strstrip(parts[i]);
        if (*part == '\0') {
            continue;
        }
        if (!read_address(part, &address)) {
            return set_fault(parse, PROBLEM_BAD_VALUE,
                             "expected IP:PORT addresses separated by commas");
        }
        g_array_append_val(addresses, address);
    }
    return TRUE;
}

static gboolean
parse_hex(Parse_t *parse)
{
    size_t digits = strlen(parse->value);
    for (size_t i = 0; i < digits; i++) {
        if (!g_ascii_isxdigit(parse->value[i])) {
            return set_fault(parse, PROBLEM_BAD_VALUE, "expected hex digits");
        }
    }
    gint64 length = (gint64)digits / 2;
    if (digits % 2 != 0 || length < parse->key->min ||
        length > parse->key->max) {
        return set_fault(parse, PROBLEM_OUT_OF_RANGE,
                         "wrong number of hex digits");
    }
    guint8 *bytes = g_malloc((gsize)MAX(length, 1));
    for (gint64 i = 0; i < length; i++) {
        bytes[i] = (guint8)(g_ascii_xdigit_value(parse->value[2 * i]) * 16 +
                            g_ascii_xdigit_value(parse->value[2 * i + 1]));
    }
    *(GBytes **)parse->slot = g_bytes_new_take(bytes, (gsize)length);
    return TRUE;
}

static gboolean
parse_choice(Parse_t *parse)
{
    g_auto(GStrv) words = g_strsplit(parse->key->choices, ",", -1);
    for (guint i = 0; words[i]; i++) {
        if (strcmp(words[i], parse->value) == 0) {
            *(gint64 *)parse->slot = i;
            return TRUE;
        }
    }
    return set_fault(parse, PROBLEM_BAD_VALUE, parse->key->choices);
}

typedef gboolean (*ParseValue_t)(Parse_t *parse);

static const ParseValue_t parsers[] = {
    [KEY_TEXT] = parse_text,         [KEY_NAME] = parse_name,
    [KEY_NAMES] = parse_names,       [KEY_INTEGER] = parse_integer,
    [KEY_DURATION] = parse_duration, [KEY_SIZE] = parse_size,
    [KEY_ADDRESS] = parse_address,   [KEY_ADDRESSES] = parse_addresses,
    [KEY_HEX] = parse_hex,           [KEY_CHOICE] = parse_choice,
};

static const char *const type_names[] = {
    [KEY_TEXT] = "text",         [KEY_NAME] = "name",
    [KEY_NAMES] = "names",       [KEY_INTEGER] = "integer",
    [KEY_DURATION] = "duration", [KEY_SIZE] = "size",
    [KEY_ADDRESS] = "address",   [KEY_ADDRESSES] = "addresses",
    [KEY_HEX] = "hex",           [KEY_CHOICE] = "choice",
};

static void
add_problem(GPtrArray *problems, KeyPlace_t place, ProblemKind_t kind,
            const char *key, const char *detail)
{
    const char *path = place.ini ? IniFile_path(place.ini) : "-";
    guint line = 0;
    if (place.ini) {
        line = IniFile_line(place.ini, place.section, key);
        line = line ? line : IniFile_line(place.ini, place.section, NULL);
    }
    Problems_add(problems, kind, path, line, place.section, key, detail);
}

static gboolean
is_known(const SectionSpec_t *spec, const char *name)
{
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        if (strcmp(key->name, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
reject_unknown_keys(const SectionSpec_t *spec, GHashTable *fields,
                    KeyPlace_t place, GPtrArray *problems)
{
    GHashTableIter iter;
    gpointer name = NULL;
    g_hash_table_iter_init(&iter, fields);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!is_known(spec, name)) {
            add_problem(problems, place, PROBLEM_UNKNOWN_KEY, name, NULL);
        }
    }
}

static gboolean
is_bare_unit(const char *value, const Unit_t *units)
{
    for (; units->suffix; units++) {
        if (strcmp(units->suffix, value) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* A settings template whose number is not given yields an empty value or only
 * the unit. For an optional key, this counts as absent: all routers share the
 * template, so rejecting the value would keep each of them from starting. */
static gboolean
is_empty_number(const KeySpec_t *key, const char *value)
{
    switch (key->type) {
    case KEY_INTEGER:
        return is_bare_unit(value, no_units);
    case KEY_DURATION:
        return *value == '\0' || is_bare_unit(value, duration_units);
    case KEY_SIZE:
        return *value == '\0' || is_bare_unit(value, size_units);
    case KEY_CHOICE:
        return *value == '\0';
    default:
        return FALSE;
    }
}

static const char *
find_value(const KeySpec_t *key, GHashTable *fields)
{
    const char *value = g_hash_table_lookup(fields, key->name);
    return value && !key->required && is_empty_number(key, value) ? NULL
                                                                  : value;
}

void
KeyTable_fill(const SectionSpec_t *spec, GHashTable *fields, KeyPlace_t place,
              void *out, GPtrArray *problems)
{
    reject_unknown_keys(spec, fields, place, problems);
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        const char *value = find_value(key, fields);
        if (!value && key->required) {
            add_problem(problems, place, PROBLEM_MISSING_KEY, key->name, NULL);
            continue;
        }
        value = value ? value : key->fallback;
        if (!value) {
            continue;
        }
        Parse_t parse = {
            .key = key, .value = value, .slot = (char *)out + key->offset};
        if (!parsers[key->type](&parse)) {
            g_autofree char *detail =
                g_strdup_printf("\"%s\": %s", value, parse.detail);
            add_problem(problems, place, parse.fault, key->name, detail);
        }
    }
}

static gboolean
strings_equal(const GString *one, const GString *other)
{
    return one && other ? g_string_equal(one, other) : one == other;
}

static gboolean
addresses_equal(const GArray *one, const GArray *other)
{
    return one->len == other->len &&
           (one->len == 0 ||
            memcmp(one->data, other->data, one->len * sizeof(Address_t)) == 0);
}

/* Compares addresses as memory, which works as the bytes of host after its NUL
 * are zero. */
static gboolean
values_equal(const KeySpec_t *key, const void *one, const void *other)
{
    switch (key->type) {
    case KEY_TEXT:
    case KEY_NAME:
        return strings_equal(*(GString *const *)one, *(GString *const *)other);
    case KEY_NAMES:
        return Names_equal(*(GPtrArray *const *)one,
                           *(GPtrArray *const *)other);
    case KEY_ADDRESS:
        return memcmp(one, other, sizeof(Address_t)) == 0;
    case KEY_ADDRESSES:
        return addresses_equal(*(GArray *const *)one, *(GArray *const *)other);
    case KEY_HEX:
        return g_bytes_equal(*(GBytes *const *)one, *(GBytes *const *)other);
    default:
        return *(const gint64 *)one == *(const gint64 *)other;
    }
}

void
KeyTable_applyLive(const SectionSpec_t *spec, void *out, const void *updated,
                   GPtrArray *restart_keys)
{
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        void *slot = (char *)out + key->offset;
        const void *new_value = (const char *)updated + key->offset;
        if (key->live) {
            *(gint64 *)slot = *(const gint64 *)new_value;
        }
        else if (!values_equal(key, slot, new_value)) {
            g_ptr_array_add(restart_keys, (gpointer)key);
        }
    }
}

static void
clear_value(const KeySpec_t *key, void *slot)
{
    switch (key->type) {
    case KEY_TEXT:
    case KEY_NAME:
        if (*(GString **)slot) {
            g_string_free(*(GString **)slot, TRUE);
        }
        break;
    case KEY_NAMES:
        g_clear_pointer((GPtrArray **)slot, g_ptr_array_unref);
        break;
    case KEY_ADDRESSES:
        g_clear_pointer((GArray **)slot, g_array_unref);
        break;
    case KEY_HEX:
        g_clear_pointer((GBytes **)slot, g_bytes_unref);
        break;
    default:
        break;
    }
}

void
KeyTable_clear(const SectionSpec_t *spec, void *out)
{
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        clear_value(key, (char *)out + key->offset);
    }
    memset(out, 0, spec->size);
}

static gboolean
has_live_keys(const SectionSpec_t *spec)
{
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        if (key->live) {
            return TRUE;
        }
    }
    return FALSE;
}

void
KeyTable_appendReference(const SectionSpec_t *spec, GString *out)
{
    g_string_append_printf(out, "\n## [%s]\n\n%s%s\n\n", spec->name, spec->doc,
                           has_live_keys(spec)
                               ? " SIGHUP reloads the keys marked with a star."
                               : "");
    g_string_append(out, "| key | type | range | default | meaning |\n"
                         "|---|---|---|---|---|\n");
    for (const KeySpec_t *key = spec->keys; key->name; key++) {
        g_string_append_printf(out, "| `%s`%s | %s | ", key->name,
                               key->live ? " *" : "", type_names[key->type]);
        if (key->choices) {
            g_string_append(out, key->choices);
        }
        else if (key->max != 0) {
            g_string_append_printf(out,
                                   "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                                   key->min, key->max);
        }
        const char *fallback = key->fallback ? key->fallback : "none";
        g_string_append_printf(out, " | %s | %s |\n",
                               key->required ? "required" : fallback,
                               key->doc);
    }
}
