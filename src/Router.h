#ifndef HEADER_Router
#define HEADER_Router
/**
 * DOC: Router
 *
 * The long-running router process. Creates all modules, listens, and after
 * SIGTERM waits for the open requests to end before it frees the modules.
 */
#include <glib.h>

#include "PlatformForm.h"
#include "Settings.h"

/**
 * Router_run() - run a router until SIGTERM or SIGINT
 * @settings: reloaded on SIGHUP
 * @form: form of the platform named in @settings; NULL for the native one
 * @error: WT_ERROR_LISTEN, WT_ERROR_DESCRIPTORS, WT_ERROR_EVENT_LOOP
 *
 * Return: FALSE if the router could not start, or its event loop ended without
 *     a stop
 */
gboolean Router_run(Settings_t *settings, const PlatformForm_t *form,
                    GError **error);

#endif
