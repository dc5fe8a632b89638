#ifndef HEADER_KeyTable
#define HEADER_KeyTable
/**
 * DOC: KeyTable
 *
 * One table describes the keys of a section: name, type, unit, range and
 * default. The same table checks values, fills the section's struct and
 * prints the reference page.
 */
#include <glib.h>

/**
 * enum KeyType_t - how a value is written and what it becomes
 * @KEY_TEXT: any text; GString *
 * @KEY_NAME: a name of an object; GString *
 * @KEY_NAMES: names with commas between; GPtrArray * of GString *
 * @KEY_INTEGER: number; gint64, a fraction is left out
 * @KEY_DURATION: number with ms, s, m or h; gint64 in milliseconds
 * @KEY_SIZE: number with B, KiB, MiB or GiB; gint64 in bytes
 * @KEY_ADDRESS: IP number and port; Address_t
 * @KEY_ADDRESSES: addresses with commas between; GArray * of Address_t
 * @KEY_HEX: an even count of hex digits; GBytes *
 * @KEY_CHOICE: one of the words in choices; gint64, its place from 0
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

#define ADDRESS_HOST_SIZE 46

/**
 * struct Address_t - where a process listens
 * @host: IP number as text
 * @port: TCP port; 0 for one that the system chooses
 */
typedef struct {
    char host[ADDRESS_HOST_SIZE];
    guint16 port;
} Address_t;

/**
 * struct KeySpec_t - one key
 * @name: as written
 * @type: how its value is read
 * @required: refuse a section without it
 * @fallback: value where it is not written, or NULL for none
 * @min: smallest number, or least bytes of a KEY_HEX
 * @max: largest number, or most bytes of a KEY_HEX
 * @choices: words of a KEY_CHOICE with commas between
 * @offset: where the value goes in the section's struct
 * @doc: one sentence for the reference page
 * @live: a number that may change while the program runs
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

/** Written behind the sentence of a key that may change */
#define KEY_LIVE TRUE

/**
 * struct SectionSpec_t - one kind of section
 * @name: its name, or for declarations the kind before the object's name
 * @keys: ended by a spec without a name
 * @size: bytes of the struct that the keys fill
 * @doc: one sentence for the reference page
 */
typedef struct {
    const char *name;
    const KeySpec_t *keys;
    gsize size;
    const char *doc;
} SectionSpec_t;

/**
 * struct KeyPlace_t - where fields were read, for problems
 * @ini: an IniFile_t, or NULL where the fields came from the log or an RPC
 * @section: full name of the section
 */
typedef struct {
    const struct IniFile *ini;
    const char *section;
} KeyPlace_t;

/**
 * KeyTable_fill() - check a section's fields and fill its struct
 *
 * A number or word that may be left out and is empty, or a unit alone, counts
 * as not written.
 *
 * @fields: text to text
 * @out: @spec->size bytes of zeros
 * @problems: gets every fault; may not be NULL
 */
void KeyTable_fill(const SectionSpec_t *spec, GHashTable *fields,
                   KeyPlace_t place, void *out, GPtrArray *problems);

/**
 * KeyTable_takeLive() - take what may change while the program runs
 * @out: struct in use, of @spec
 * @fresh: another one, of a newer file
 * @waiting: gets the KeySpec_t * of each other key that differs
 */
void KeyTable_takeLive(const SectionSpec_t *spec, void *out, const void *fresh,
                       GPtrArray *waiting);

/**
 * KeyTable_clear() - free what KeyTable_fill() put into a struct
 */
void KeyTable_clear(const SectionSpec_t *spec, void *out);

/**
 * KeyTable_nameIsGood() - whether a text may name an object
 *
 * Letters, digits, '-', '_' and '.', 1 to 64 of them.
 */
gboolean KeyTable_nameIsGood(const char *name);

/**
 * KeyTable_reference() - append the reference of a section in Markdown
 */
void KeyTable_reference(const SectionSpec_t *spec, GString *out);

#endif
