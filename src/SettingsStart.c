#include "SettingsStart.h"

#include <stdio.h>

#include "Clock.h"
#include "Log.h"
#include "Problem.h"
#include "StopSignals.h"
#include "TextFile.h"

#define LOOK_INTERVAL_US 20000

static void
log_wait(const char *event, LogLevel_t level, const char *path,
         gint64 began_ms)
{
    Log_begin(level, event);
    Log_text("path", path);
    Log_number("waited_ms", Clock_nowMs() - began_ms);
    Log_end();
}

/* Returns FALSE if it has not changed by @end_ms. */
static gboolean
await_change(const char *path, const FileStamp_t *stamp, gint64 end_ms)
{
    while (Clock_nowMs() < end_ms && !StopSignals_arePending()) {
        FileStamp_t now = TextFile_stamp(path);
        if (!TextFile_isSame(&now, stamp)) {
            return TRUE;
        }
        g_usleep(LOOK_INTERVAL_US);
    }
    return FALSE;
}

static Settings_t *
read_once(const char *path)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    Settings_t *settings = Settings_create(path, problems);
    Problems_print(problems);
    return settings;
}

Settings_t *
SettingsStart_run(const char *path)
{
    gint64 began_ms = Clock_nowMs();
    FileStamp_t stamp = TextFile_stamp(path);
    Settings_t *settings = read_once(path);
    gboolean waits = settings == NULL;
    while (!settings) {
        log_wait("settings_wait", LOG_LEVEL_WARNING, path, began_ms);
        if (!await_change(path, &stamp, began_ms + SETTINGS_WAIT_MAX_MS)) {
            log_wait("settings_unusable", LOG_LEVEL_ERROR, path, began_ms);
            return NULL;
        }
        stamp = TextFile_stamp(path);
        settings = read_once(path);
    }
    if (waits) {
        log_wait("settings_read", LOG_LEVEL_INFO, path, began_ms);
    }
    return settings;
}
