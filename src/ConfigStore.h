#ifndef HEADER_ConfigStore
#define HEADER_ConfigStore
/**
 * DOC: ConfigStore
 *
 * The declarations in force, computed by folding the records of the log stream
 * "config" in the order of their offsets. A record is applied only if each of
 * its changes is based on the object's current revision. Every router thus
 * reaches the same state, and of two concurrent commands that change the same
 * object, exactly one is applied.
 */
#include <glib.h>

#include "Declarations.h"
#include "config.pb-c.h"

/** Number of command outcomes stored, so that a repeated command can be
 * recognized and answered */
#define CONFIG_OUTCOMES_MAX 4096

/**
 * struct ConfigStore_t - opaque
 */
typedef struct ConfigStore ConfigStore_t;

/**
 * struct ConfigOutcome_t - outcome of a command's record
 * @taken: whether its changes were applied
 * @revision: revision of the record, which is its offset plus one
 */
typedef struct {
    gboolean taken;
    guint64 revision;
} ConfigOutcome_t;

/**
 * ConfigChanged_t - called after the declarations in force have changed
 */
typedef void (*ConfigChanged_t)(void *data);

/**
 * ConfigStore_create() - create an empty store with fold offset 0
 * @changed: called after each record or snapshot that was applied, or NULL
 * @data: passed to @changed
 */
ConfigStore_t *ConfigStore_create(ConfigChanged_t changed, void *data);

/**
 * ConfigStore_destroy() - free the store and all objects
 */
void ConfigStore_destroy(ConfigStore_t *this);

/**
 * ConfigStore_fold() - fold the next record and apply its changes
 * @offset: offset of the record; a record below the fold offset is ignored, as
 *     it was folded before
 * @record: a packed ConfigRecord; one that can't be decoded changes nothing
 *     but the fold offset
 */
void ConfigStore_fold(ConfigStore_t *this, guint64 offset, GBytes *record);

/**
 * ConfigStore_pack() - encode the whole state as a snapshot
 *
 * Return: a packed Snapshot message
 */
GBytes *ConfigStore_pack(const ConfigStore_t *this);

/**
 * ConfigStore_load() - replace the state by a snapshot
 *
 * A snapshot whose fold offset is not larger than the store's is rejected, so
 * that no object reverts to an older revision.
 *
 * Return: whether the snapshot was loaded
 */
gboolean ConfigStore_load(ConfigStore_t *this, const Wt__Snapshot *snapshot);

/**
 * ConfigStore_bootstrap() - use declarations from a file until the log or a
 * peer answers
 * @objects: Object_t with revision 0; the store takes ownership
 *
 * The first record folded or snapshot loaded replaces all these objects.
 */
void ConfigStore_bootstrap(ConfigStore_t *this, GPtrArray *objects);

/** ConfigStore_isUsable() - whether the store has declarations from the log,
 * a peer or a bootstrap file */
gboolean ConfigStore_isUsable(const ConfigStore_t *this);

/** ConfigStore_snapshotOffset() - offset of the last folded record that holds
 * a snapshot, plus one; 0 for none */
guint64 ConfigStore_snapshotOffset(const ConfigStore_t *this);

/**
 * ConfigStore_foldOffset() - offset of the next record to fold
 */
guint64 ConfigStore_foldOffset(const ConfigStore_t *this);

/** ConfigStore_kindRevision() - revision of the last change to any object of
 * a kind */
guint64 ConfigStore_kindRevision(const ConfigStore_t *this, ObjectKind_t kind);

/**
 * ConfigStore_digest() - hash over all objects and their revisions
 * @out: 16 bytes
 */
void ConfigStore_digest(const ConfigStore_t *this, guint8 out[16]);

/**
 * ConfigStore_findOutcome() - find the outcome of a command's record
 *
 * Return: NULL if no record of this id was folded, or if its outcome was
 * evicted (CONFIG_OUTCOMES_MAX)
 */
const ConfigOutcome_t *ConfigStore_findOutcome(const ConfigStore_t *this,
                                               GBytes *command_id);

/**
 * ConfigStore_find() - find a declared object
 *
 * Return: owned by the store; NULL if there is none
 */
const Object_t *ConfigStore_find(const ConfigStore_t *this, ObjectKind_t kind,
                                 const char *name);

/**
 * ConfigStore_list() - list all objects of a kind
 *
 * Return: a new list, sorted by name, of Object_t owned by the store
 */
GPtrArray *ConfigStore_list(const ConfigStore_t *this, ObjectKind_t kind);

/**
 * ConfigStore_findCustomerByHash() - find the customer with this key hash
 *
 * Return: owned by the store; NULL if there is none
 */
const Object_t *ConfigStore_findCustomerByHash(const ConfigStore_t *this,
                                               GBytes *key_hash);

/**
 * ConfigStore_checkChange() - validate the kind, name and fields of a change
 * @problems: receives every fault
 *
 * Return: whether the change is valid
 */
gboolean ConfigStore_checkChange(const Wt__Change *change,
                                 GPtrArray *problems);

#endif
