#ifndef HEADER_Declarations
#define HEADER_Declarations
/**
 * DOC: Declarations
 *
 * The objects that operators declare, each a section "[kind name]" of an INI
 * file kept in version control, and each in force on every router once a
 * command that carries it was accepted.
 */
#include <glib.h>

#include "KeyTable.h"

/**
 * enum ObjectKind_t - the kinds, in the order in which they are applied
 */
typedef enum {
    OBJECT_PRIORITY,
    OBJECT_MODEL,
    OBJECT_ADAPTER,
    OBJECT_SERVICE,
    OBJECT_CUSTOMER,
    OBJECT_UPSTREAM,
    OBJECT_STOP_PLAN,
    OBJECT_KIND_COUNT,
} ObjectKind_t;

/** struct Priority_t - [priority NAME]; a larger level goes first */
typedef struct {
    gint64 level;
} Priority_t;

/** struct Model_t - [model NAME] */
typedef struct {
    GString *weights;
    gint64 context;
} Model_t;

/** struct Adapter_t - [adapter NAME] */
typedef struct {
    GString *model;
    GString *weights;
} Adapter_t;

/** struct Service_t - [service NAME], a plain service */
typedef struct {
    gint64 repeatable;
    gint64 timeout_ms;
} Service_t;

/** enum LimitUnit_t - the words of [customer] unit, in their order */
typedef enum { LIMIT_REQUESTS, LIMIT_TOKENS } LimitUnit_t;

/** struct Customer_t - [customer NAME]; rate in units a second */
typedef struct {
    GBytes *key_hash;
    GString *max_priority;
    GString *customer_class;
    gint64 unit;
    gint64 rate;
    gint64 burst;
    gint64 plain_tokens;
    gint64 concurrency;
} Customer_t;

/** enum UpstreamRole_t - the words of [upstream] role */
typedef enum { ROLE_ENGINE, ROLE_SERVICE } UpstreamRole_t;

/** struct UpstreamSpec_t - [upstream NAME] */
typedef struct {
    Address_t address;
    GString *hall;
    GString *region;
    gint64 role;
    GPtrArray *serves;
    gint64 slots;
    gint64 fencing;
} UpstreamSpec_t;

/** struct StopPlan_t - [stop-plan NAME]; no new work from @lead_ms before
 * the time @by on */
typedef struct {
    GString *upstream;
    GString *by;
    gint64 lead_ms;
} StopPlan_t;

/**
 * struct Object_t - one declared object
 * @kind: its kind
 * @name: its name
 * @revision: log offset of the change that is in force, plus one; 0 for an
 *     object that was only read from a file
 * @fields: keys and values as text
 * @spec: the kind's struct, filled from @fields
 */
typedef struct {
    ObjectKind_t kind;
    GString *name;
    guint64 revision;
    GHashTable *fields;
    void *spec;
} Object_t;

/**
 * Object_create() - check an object's fields
 * @fields: taken over
 * @place: for problems
 * @problems: gets every fault
 *
 * Return: the object, or NULL where there is any fault
 */
Object_t *Object_create(ObjectKind_t kind, const char *name,
                        GHashTable *fields, KeyPlace_t place,
                        GPtrArray *problems);

/**
 * Object_destroy() - free it
 */
void Object_destroy(Object_t *this);

/**
 * Declarations_kindName() - the word in a section's head
 */
const char *Declarations_kindName(ObjectKind_t kind);

/**
 * Declarations_parseKind() - find a kind by its word
 *
 * Return: FALSE where there is none
 */
gboolean Declarations_parseKind(const char *word, ObjectKind_t *kind);

/**
 * Declarations_load() - read files or directories of *.ini files
 * @paths: ended by NULL
 * @problems: gets every fault, names that stand twice and references to
 *     nothing among them
 *
 * Return: a list of Object_t by kind and name that frees its members
 */
GPtrArray *Declarations_load(char **paths, GPtrArray *problems);

/**
 * Declarations_reference() - append the reference of all keys in Markdown
 */
void Declarations_reference(GString *out);

#endif
