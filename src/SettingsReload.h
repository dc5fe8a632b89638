#ifndef HEADER_SettingsReload
#define HEADER_SettingsReload
/**
 * DOC: SettingsReload
 *
 * Reloads the settings of a running router and logs the result: changed keys
 * that take effect only after a restart, and the faults of a file that is
 * rejected. A rejected file may still be being written, so that it is read
 * again if it changes soon after.
 */
#include <event2/event.h>

#include "Settings.h"

/** How long a rejected file is watched. */
#define RELOAD_WATCH_MS 10000

/** struct SettingsReload_t - opaque */
typedef struct SettingsReload SettingsReload_t;

/** SettingsTaken_t - called after each reload that was applied */
typedef void (*SettingsTaken_t)(void *owner);

/**
 * SettingsReload_create() - create without reading anything
 * @settings: changed by a reload
 */
SettingsReload_t *SettingsReload_create(struct event_base *base,
                                        Settings_t *settings,
                                        SettingsTaken_t taken, void *owner);

/** SettingsReload_run() - read the settings file again and log the result */
void SettingsReload_run(SettingsReload_t *this);

/** SettingsReload_destroy() - stop watching */
void SettingsReload_destroy(SettingsReload_t *this);

#endif
