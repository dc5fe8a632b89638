#ifndef HEADER_SettingsReload
#define HEADER_SettingsReload
/**
 * DOC: SettingsReload
 *
 * Reads the settings of a running router again and logs what came of it:
 * keys that wait for a restart, and the faults of a file that is refused.
 */
#include "Settings.h"

/**
 * SettingsReload_run() - read the file again
 *
 * Return: whether it was taken; else nothing has changed
 */
gboolean SettingsReload_run(Settings_t *settings);

#endif
