#ifndef HEADER_SettingsStart
#define HEADER_SettingsStart
/**
 * DOC: SettingsStart
 *
 * Reads the settings as a router starts. The file may not be there yet, or not
 * be written whole, so that one at fault is read again for a while when it
 * changes.
 */
#include "Settings.h"

/** Longest wait for a file that is not at fault. */
#define SETTINGS_WAIT_MAX_MS 10000

/**
 * SettingsStart_run() - read the settings and print their problems
 *
 * Blocks.
 *
 * Return: NULL if the file is still at fault after the wait, or if the router
 * is told to stop
 */
Settings_t *SettingsStart_run(const char *path);

#endif
