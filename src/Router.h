#ifndef HEADER_Router
#define HEADER_Router
/**
 * DOC: Router
 *
 * The long-running role: it builds all parts, listens, and ends them in
 * order after SIGTERM, when all open requests have ended.
 */
#include <glib.h>

#include "Settings.h"

/**
 * Router_run() - run until SIGTERM or SIGINT
 * @settings: must outlive it
 * @error: WT_ERROR_LISTEN
 *
 * Return: FALSE where it could not start
 */
gboolean Router_run(const Settings_t *settings, GError **error);

#endif
