#ifndef HEADER_ConfigLog
#define HEADER_ConfigLog
/**
 * DOC: ConfigLog
 *
 * Reads the log stream "config", folds its records into a ConfigStore, and
 * appends operators' commands and snapshots to the stream. If the records
 * after the fold offset have expired from the log, reading continues from a
 * snapshot found in the remaining records. A command completes only after its
 * own record was folded, so losing the log's answer to the append is harmless.
 */
#include <event2/event.h>
#include <glib.h>

#include "ConfigStore.h"
#include "LogClient.h"

/** Name of the log stream */
#define CONFIG_STREAM "config"

/**
 * struct ConfigLogLimits_t - timeouts in milliseconds
 * @poll_ms: how long the log may hold a read that has no new records
 * @retry_ms: longest wait after a failed read; the shortest is half of it
 * @command_ms: time after which the result of a command is unknown
 */
typedef struct {
    gint64 poll_ms;
    gint64 retry_ms;
    gint64 command_ms;
} ConfigLogLimits_t;

/**
 * enum CommandResult_t - result of a command
 * @COMMAND_APPLIED: the changes are in force on this router
 * @COMMAND_CONFLICT: rejected as invalid, or as another change of one of the
 *     objects was folded first
 * @COMMAND_NOT_APPENDED: the log was unreachable or refused the record
 * @COMMAND_UNKNOWN: timed out; the record may be in the log or still arrive
 * @COMMAND_LOG_LOST_RECORDS: the log lost records that are in force, so
 *     commands are rejected
 */
typedef enum {
    COMMAND_APPLIED,
    COMMAND_CONFLICT,
    COMMAND_NOT_APPENDED,
    COMMAND_UNKNOWN,
    COMMAND_LOG_LOST_RECORDS,
} CommandResult_t;

/**
 * CommandDone_t - called once for each command
 * @revision: revision of the command's record; 0 if it was not folded
 */
typedef void (*CommandDone_t)(CommandResult_t result, guint64 revision,
                              void *data);

/**
 * struct ConfigLog_t - opaque
 */
typedef struct ConfigLog ConfigLog_t;

/**
 * ConfigLog_create() - start to read the log stream
 * @log: client of the log; must be freed before ConfigLog_destroy() is called
 * @store: receives the records; must outlive the returned object
 */
ConfigLog_t *ConfigLog_create(struct event_base *base, LogClient_t *log,
                              ConfigStore_t *store,
                              const ConfigLogLimits_t *limits);

/** ConfigLog_destroy() - free; the log client must be freed first */
void ConfigLog_destroy(ConfigLog_t *this);

/**
 * ConfigFoldHandler_t - called for each record that was read from the log and
 * folded
 */
typedef void (*ConfigFoldHandler_t)(guint64 offset, GBytes *record,
                                    void *data);

/** ConfigLog_setFoldHandler() - set the callback for records of the log */
void ConfigLog_setFoldHandler(ConfigLog_t *this, ConfigFoldHandler_t folded,
                              void *data);

/** ConfigLog_completeFoldedCommands() - complete the commands whose records
 * were folded from a peer's message */
void ConfigLog_completeFoldedCommands(ConfigLog_t *this);

/** ConfigLog_appendSnapshot() - append a snapshot of the store; a failed
 * append is not retried, as the next snapshot replaces it */
void ConfigLog_appendSnapshot(ConfigLog_t *this);

/** ConfigLog_setReading() - start or stop reading the log; a router that does
 * not read it gets the records from peers */
void ConfigLog_setReading(ConfigLog_t *this, gboolean reading);

/** ConfigLog_isReachable() - whether the last read succeeded */
gboolean ConfigLog_isReachable(const ConfigLog_t *this);

/**
 * ConfigLog_submit() - append a command's record and wait until it is folded
 * @command_id: same as in @record
 * @record: a packed ConfigRecord
 * @done: may be called before this function returns
 */
void ConfigLog_submit(ConfigLog_t *this, GBytes *command_id, GBytes *record,
                      CommandDone_t done, void *data);

#endif
