#ifndef HEADER_ConfigLog
#define HEADER_ConfigLog
/**
 * DOC: ConfigLog
 *
 * Follows the log stream "config" into a ConfigStore, and appends operators'
 * commands and snapshots to it. Where the records that follow the fold have
 * expired, it goes on from the newest snapshot in the log. A command is
 * answered only after its own record was read back and folded, so an answer
 * that was lost on the way does no harm.
 */
#include <event2/event.h>
#include <glib.h>

#include "ConfigStore.h"
#include "LogClient.h"

/** Name of the stream */
#define CONFIG_STREAM "config"

/**
 * struct ConfigLogLimits_t - times in milliseconds
 * @poll_ms: how long the log may hold a read
 * @retry_ms: wait after a read that failed
 * @command_ms: how long a command may take before it counts as unknown
 */
typedef struct {
    gint64 poll_ms;
    gint64 retry_ms;
    gint64 command_ms;
} ConfigLogLimits_t;

/**
 * enum CommandEnd_t - how a command ended
 * @COMMAND_TAKEN: its changes are in force here
 * @COMMAND_CONFLICT: another change of an object came first
 * @COMMAND_NOT_APPENDED: the log was not reached or refused
 * @COMMAND_UNKNOWN: its record may have landed or may yet land
 * @COMMAND_LOG_WENT_BACK: the log lost records that are in force
 */
typedef enum {
    COMMAND_TAKEN,
    COMMAND_CONFLICT,
    COMMAND_NOT_APPENDED,
    COMMAND_UNKNOWN,
    COMMAND_LOG_WENT_BACK,
} CommandEnd_t;

/**
 * CommandDone_t - called once for each command
 * @revision: of its record, where it was folded
 */
typedef void (*CommandDone_t)(CommandEnd_t end, guint64 revision, void *data);

/**
 * struct ConfigLog_t - opaque
 */
typedef struct ConfigLog ConfigLog_t;

/**
 * ConfigLog_create() - start to follow
 * @log: must outlive it
 * @store: must outlive it
 */
ConfigLog_t *ConfigLog_create(struct event_base *base, LogClient_t *log,
                              ConfigStore_t *store,
                              const ConfigLogLimits_t *limits);

/** ConfigLog_destroy() - free it; the log client must be freed first */
void ConfigLog_destroy(ConfigLog_t *this);

/**
 * ConfigLogFolded_t - called for each record that was folded from the log
 */
typedef void (*ConfigLogFolded_t)(guint64 offset, GBytes *record, void *data);

/** ConfigLog_onFolded() - whom to tell of records from the log */
void ConfigLog_onFolded(ConfigLog_t *this, ConfigLogFolded_t folded,
                        void *data);

/** ConfigLog_settle() - answer commands whose record came another way */
void ConfigLog_settle(ConfigLog_t *this);

/** ConfigLog_appendSnapshot() - append what is in force; its fate is left to
 * the next one */
void ConfigLog_appendSnapshot(ConfigLog_t *this);

/** ConfigLog_setReading() - whether to follow the log at all; records come
 * from peers where not */
void ConfigLog_setReading(ConfigLog_t *this, gboolean reading);

/** ConfigLog_isReachable() - whether the last read was answered */
gboolean ConfigLog_isReachable(const ConfigLog_t *this);

/**
 * ConfigLog_submit() - append a command and wait for its fold
 * @command_id: found in the record as well
 * @record: a packed ConfigRecord
 */
void ConfigLog_submit(ConfigLog_t *this, GBytes *command_id, GBytes *record,
                      CommandDone_t done, void *data);

#endif
