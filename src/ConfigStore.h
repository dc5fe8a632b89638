#ifndef HEADER_ConfigStore
#define HEADER_ConfigStore
/**
 * DOC: ConfigStore
 *
 * The declarations in force, made by folding the records of the log stream
 * "config" in the order of their offsets. A record is taken only if each of
 * its changes is based on the object's current revision, so that every
 * router comes to the same state and racing operators get one winner.
 */
#include <glib.h>

#include "Declarations.h"
#include "config.pb-c.h"

/** How many outcomes of commands are remembered for a repeat of the question
 */
#define CONFIG_OUTCOMES_KEPT 4096

/**
 * struct ConfigStore_t - opaque
 */
typedef struct ConfigStore ConfigStore_t;

/**
 * struct ConfigOutcome_t - what became of a record
 * @taken: whether its changes are in force
 * @revision: the record's own, its offset plus one
 */
typedef struct {
    gboolean taken;
    guint64 revision;
} ConfigOutcome_t;

/**
 * ConfigChanged_t - called after a record was taken
 */
typedef void (*ConfigChanged_t)(void *data);

/**
 * ConfigStore_create() - nothing declared, fold offset 0
 * @changed: called after each record that was taken
 * @data: for @changed
 */
ConfigStore_t *ConfigStore_create(ConfigChanged_t changed, void *data);

/**
 * ConfigStore_destroy() - free it
 */
void ConfigStore_destroy(ConfigStore_t *this);

/**
 * ConfigStore_fold() - take the next record
 * @offset: must be the fold offset or above; a record below it was folded
 *     before and is passed over
 * @record: the record's bytes; one that can't be read is folded as not taken
 */
void ConfigStore_fold(ConfigStore_t *this, guint64 offset, GBytes *record);

/**
 * ConfigStore_pack() - all that was folded, as a message
 *
 * Return: bytes of a Snapshot
 */
GBytes *ConfigStore_pack(const ConfigStore_t *this);

/**
 * ConfigStore_load() - take a snapshot over
 *
 * Only one with a larger fold offset is taken, so that nothing reverts.
 *
 * Return: whether it was taken
 */
gboolean ConfigStore_load(ConfigStore_t *this, const Wt__Snapshot *snapshot);

/**
 * ConfigStore_bootstrap() - serve from declarations of a file until the log
 * or a peer answers
 * @objects: Object_t, with revision 0; taken over
 *
 * The first thing that is folded or loaded takes the place of all of them.
 */
void ConfigStore_bootstrap(ConfigStore_t *this, GPtrArray *objects);

/** ConfigStore_isUsable() - whether anything is declared to serve from */
gboolean ConfigStore_isUsable(const ConfigStore_t *this);

/** ConfigStore_snapshotOffset() - offset of the last snapshot's record, plus
 * one; 0 for none */
guint64 ConfigStore_snapshotOffset(const ConfigStore_t *this);

/**
 * ConfigStore_foldOffset() - records below it were folded
 */
guint64 ConfigStore_foldOffset(const ConfigStore_t *this);

/** ConfigStore_kindRevision() - of the last change of any object of a kind */
guint64 ConfigStore_kindRevision(const ConfigStore_t *this, ObjectKind_t kind);

/**
 * ConfigStore_digest() - hash over all objects and their revisions
 * @out: 16 bytes
 */
void ConfigStore_digest(const ConfigStore_t *this, guint8 out[16]);

/**
 * ConfigStore_outcome() - what became of a command's record
 *
 * Return: NULL where no record of this id was folded or it is long ago
 */
const ConfigOutcome_t *ConfigStore_outcome(const ConfigStore_t *this,
                                           GBytes *command_id);

/**
 * ConfigStore_find() - a declared object
 */
const Object_t *ConfigStore_find(const ConfigStore_t *this, ObjectKind_t kind,
                                 const char *name);

/**
 * ConfigStore_list() - all objects of a kind
 *
 * Return: a new list of Object_t, owned by the store, by name
 */
GPtrArray *ConfigStore_list(const ConfigStore_t *this, ObjectKind_t kind);

/**
 * ConfigStore_customerByHash() - the customer whose key has this hash
 */
const Object_t *ConfigStore_customerByHash(const ConfigStore_t *this,
                                           GBytes *key_hash);

/**
 * ConfigStore_checkChange() - whether a change's fields pass the checks
 * @problems: gets every fault
 */
gboolean ConfigStore_checkChange(const Wt__Change *change,
                                 GPtrArray *problems);

#endif
