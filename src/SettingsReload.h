#ifndef HEADER_SettingsReload
#define HEADER_SettingsReload
/**
 * DOC: SettingsReload
 *
 * Reloads the settings of a running router and logs the result: changed keys
 * that take effect only after a restart, and the faults of a file that is
 * rejected.
 */
#include "Settings.h"

/**
 * SettingsReload_run() - read the settings file again and log the result
 *
 * Return: whether the file was applied; if not, the settings are unchanged
 */
gboolean SettingsReload_run(Settings_t *settings);

#endif
