#ifndef HEADER_Declarations
#define HEADER_Declarations
/**
 * DOC: Declarations
 *
 * The objects that operators declare. Each object is a section "[kind name]"
 * of an INI file kept in version control. It comes into force on every router
 * when a command with its declaration is applied.
 */
#include <glib.h>

#include "KeyTable.h"

/**
 * enum ObjectKind_t - kinds of objects, in the order in which they are applied
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

/** struct Priority_t - [priority NAME]; a larger level is served first */
typedef struct {
    gint64 level;
} Priority_t;

/** struct Model_t - [model NAME]; context in tokens */
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

/** enum LimitUnit_t - values of [customer] unit, in the order of its choices
 */
typedef enum { LIMIT_REQUESTS, LIMIT_TOKENS } LimitUnit_t;

/** struct Customer_t - [customer NAME]; rate in units per second */
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

/** enum UpstreamRole_t - values of [upstream] role, in the order of its
 * choices
 */
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

/** struct StopPlan_t - [stop-plan NAME]; the upstream gets no new work from
 * @lead_ms before the time @by on */
typedef struct {
    GString *upstream;
    GString *by;
    gint64 lead_ms;
} StopPlan_t;

/**
 * struct Object_t - one declared object
 * @kind: selects the type of @spec
 * @name: unique within the kind
 * @revision: log offset of the object's last change, plus one; 0 for an object
 *     read from a file
 * @fields: key -> value, both as text
 * @spec: struct of the kind, such as Model_t, filled from @fields
 */
typedef struct {
    ObjectKind_t kind;
    GString *name;
    guint64 revision;
    GHashTable *fields;
    void *spec;
} Object_t;

/**
 * Object_create() - create an object from its fields and validate them
 * @fields: the object takes ownership, also in case of a fault
 * @place: source of the fields, for problems
 * @problems: receives every fault
 *
 * Return: the object, or NULL if there is any fault
 */
Object_t *Object_create(ObjectKind_t kind, const char *name,
                        GHashTable *fields, KeyPlace_t place,
                        GPtrArray *problems);

/**
 * Object_destroy() - free the object with its fields and spec
 */
void Object_destroy(Object_t *this);

/**
 * Declarations_kindName() - name of a kind, as in section names
 */
const char *Declarations_kindName(ObjectKind_t kind);

/**
 * Declarations_parseKind() - find a kind by its name
 *
 * Return: FALSE if there is no such kind
 */
gboolean Declarations_parseKind(const char *name, ObjectKind_t *kind);

/**
 * Declarations_load() - read files or directories of *.ini files
 * @paths: NULL-terminated
 * @problems: receives every fault, including duplicate sections and references
 *     to undeclared objects
 *
 * Return: the valid objects as Object_t, sorted by kind and name; the list
 * frees its members
 */
GPtrArray *Declarations_load(char **paths, GPtrArray *problems);

/**
 * Declarations_appendReference() - append a Markdown reference of all keys
 */
void Declarations_appendReference(GString *out);

#endif
