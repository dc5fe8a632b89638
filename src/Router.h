#ifndef HEADER_Router
#define HEADER_Router
/**
 * DOC: Router
 *
 * The long-running role: it builds all parts, listens, and ends them in
 * order after SIGTERM, when all open requests have ended.
 */
#include <glib.h>

#include "PlatformForm.h"
#include "Settings.h"

/**
 * Router_run() - run until SIGTERM or SIGINT
 * @settings: must outlive it; read again after SIGHUP
 * @form: of the platform that the settings name; NULL for the native one
 * @error: WT_ERROR_LISTEN
 *
 * Return: FALSE where it could not start
 */
gboolean Router_run(Settings_t *settings, const PlatformForm_t *form,
                    GError **error);

#endif
