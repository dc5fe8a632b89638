#ifndef HEADER_KeyTable
#define HEADER_KeyTable
/**
 * DOC: KeyTable
 *
 * A table describes the keys of a section: name, type, unit, range and
 * default. It is used to validate values, to fill the section's struct and to
 * print the reference page.
 */
#include <glib.h>

/** Detail of PROBLEM_BAD_NAME; see KeyTable_isValidName(). */
#define KEY_NAME_EXPECTED "expected 1 to 64 letters, digits, '-', '_' or '.'"

/**
 * enum KeyType_t - text form of a value; C type in the section's struct
 * @KEY_TEXT: any text; GString *
 * @KEY_NAME: name of an object; GString *
 * @KEY_NAMES: names separated by commas; GPtrArray * of GString *
 * @KEY_INTEGER: number, truncated to an integer; gint64
 * @KEY_DURATION: number with ms, s, m or h; gint64 in milliseconds
 * @KEY_SIZE: number with B, KiB, MiB or GiB; gint64 in bytes
 * @KEY_ADDRESS: IPv4 address and port; Address_t
 * @KEY_ADDRESSES: addresses separated by commas; GArray * of Address_t
 * @KEY_HEX: an even number of hex digits; GBytes *
 * @KEY_CHOICE: one of the words in choices; gint64, index of the word
 */
typedef enum {
    KEY_TEXT,
    KEY_NAME,
    KEY_NAMES,
    KEY_INTEGER,
    KEY_DURATION,
    KEY_SIZE,
    KEY_ADDRESS,
    KEY_ADDRESSES,
    KEY_HEX,
    KEY_CHOICE,
} KeyType_t;

/** INET6_ADDRSTRLEN, the size of the longest IP address as text */
#define ADDRESS_HOST_SIZE 46

/**
 * struct Address_t - address that a process listens on
 * @host: IP address as text
 * @port: TCP port; 0 to let the system choose one
 */
typedef struct {
    char host[ADDRESS_HOST_SIZE];
    guint16 port;
} Address_t;

/**
 * struct KeySpec_t - description of one key
 * @name: name of the key in the file
 * @type: how the value is parsed
 * @required: whether a section without this key is rejected
 * @fallback: value used if the key is absent, or NULL for none
 * @min: smallest number, or smallest number of bytes of a KEY_HEX
 * @max: largest number, or largest number of bytes of a KEY_HEX
 * @choices: words of a KEY_CHOICE, separated by commas
 * @offset: offset of the value in the section's struct
 * @doc: one sentence for the reference page
 * @live: whether a reload may change the value while the program runs; only
 *     for types that are stored as gint64
 */
typedef struct {
    const char *name;
    KeyType_t type;
    gboolean required;
    const char *fallback;
    gint64 min;
    gint64 max;
    const char *choices;
    gsize offset;
    const char *doc;
    gboolean live;
} KeySpec_t;

/** Value of KeySpec_t.live, for readable tables */
#define KEY_LIVE TRUE

/**
 * struct SectionSpec_t - description of one kind of section
 * @name: name of the section, or of the kind in a section "[kind name]"
 * @keys: terminated by a spec whose name is NULL
 * @size: size of the section's struct in bytes
 * @doc: one sentence for the reference page
 */
typedef struct {
    const char *name;
    const KeySpec_t *keys;
    gsize size;
    const char *doc;
} SectionSpec_t;

/**
 * struct KeyPlace_t - source of a section's fields, for problems
 * @ini: the IniFile_t, or NULL for fields from the log or an RPC
 * @section: full name of the section
 */
typedef struct {
    const struct IniFile *ini;
    const char *section;
} KeyPlace_t;

/**
 * KeyTable_fill() - validate a section's fields and fill its struct
 *
 * An optional number or choice counts as absent if its value is empty or only
 * a unit.
 *
 * @fields: key -> value, both as text
 * @out: @spec->size zero bytes
 * @problems: receives every fault; must not be NULL
 */
void KeyTable_fill(const SectionSpec_t *spec, GHashTable *fields,
                   KeyPlace_t place, void *out, GPtrArray *problems);

/**
 * KeyTable_applyLive() - copy the values of all live keys
 * @out: section struct in use
 * @updated: section struct filled from the newer file
 * @restart_keys: receives the KeySpec_t * of each key that is not live and
 *     whose value differs
 */
void KeyTable_applyLive(const SectionSpec_t *spec, void *out,
                        const void *updated, GPtrArray *restart_keys);

/**
 * KeyTable_clear() - free the values in a struct and zero it
 */
void KeyTable_clear(const SectionSpec_t *spec, void *out);

/**
 * KeyTable_isValidName() - whether a text is a valid name of an object: 1 to
 * 64 characters, each a letter, a digit, '-', '_' or '.'
 */
gboolean KeyTable_isValidName(const char *name);

/**
 * KeyTable_appendReference() - append a Markdown reference of a section's keys
 */
void KeyTable_appendReference(const SectionSpec_t *spec, GString *out);

#endif
