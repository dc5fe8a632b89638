#include "SettingsStart.h"

#include <stdio.h>

#include "Clock.h"
#include "Log.h"
#include "Problem.h"
#include "StopSignals.h"
#include "TextFile.h"

#define LOOK_INTERVAL_US 20000
/* A file that can't be opened, for example for want of descriptors, may be
 * readable later without a change. */
#define UNREADABLE_RETRY_MS 500

static void
log_wait(const char *event, LogLevel_t level, const char *path,
         gint64 began_ms)
{
    Log_begin(level, event);
    Log_text("path", path);
    Log_number("waited_ms", Clock_nowMs() - began_ms);
    Log_end();
}

/* Returns FALSE if there is no reason to read it again by @end_ms. */
static gboolean
await_change(const char *path, const FileStamp_t *stamp, gint64 retry_ms,
             gint64 end_ms)
{
    while (Clock_nowMs() < end_ms && !StopSignals_arePending()) {
        FileStamp_t now = TextFile_stamp(path);
        if (!TextFile_isSame(&now, stamp) || Clock_nowMs() >= retry_ms) {
            return TRUE;
        }
        g_usleep(LOOK_INTERVAL_US);
    }
    return FALSE;
}

static gboolean
is_unreadable(const GPtrArray *problems)
{
    const Problem_t *first =
        problems->len > 0 ? g_ptr_array_index(problems, 0) : NULL;
    return first && first->kind == PROBLEM_UNREADABLE;
}

/* @retry_ms receives when to read again even if nothing changes. */
static Settings_t *
read_once(const char *path, const FileStamp_t *stamp, gint64 *retry_ms)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    Settings_t *settings = Settings_create(path, problems);
    Problems_print(problems);
    *retry_ms = stamp->exists && is_unreadable(problems)
                    ? Clock_nowMs() + UNREADABLE_RETRY_MS
                    : G_MAXINT64;
    return settings;
}

Settings_t *
SettingsStart_run(const char *path)
{
    gint64 began_ms = Clock_nowMs();
    gint64 end_ms = began_ms + SETTINGS_WAIT_MAX_MS;
    gint64 retry_ms = 0;
    FileStamp_t stamp = TextFile_stamp(path);
    Settings_t *settings = read_once(path, &stamp, &retry_ms);
    gboolean waits = settings == NULL;
    while (!settings) {
        log_wait("settings_wait", LOG_LEVEL_WARNING, path, began_ms);
        if (!await_change(path, &stamp, retry_ms, end_ms)) {
            log_wait("settings_unusable", LOG_LEVEL_ERROR, path, began_ms);
            return NULL;
        }
        stamp = TextFile_stamp(path);
        settings = read_once(path, &stamp, &retry_ms);
    }
    if (waits) {
        log_wait("settings_read", LOG_LEVEL_INFO, path, began_ms);
    }
    return settings;
}
