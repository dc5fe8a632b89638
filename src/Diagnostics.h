#ifndef HEADER_Diagnostics
#define HEADER_Diagnostics
/**
 * DOC: Diagnostics
 *
 * Writes what else a router has to tell into its log: messages of libevent and
 * GLib, which otherwise go to standard error and block the router while nobody
 * reads that, and a last line if a fatal signal ends the process.
 */

/**
 * Diagnostics_start() - log messages of libraries and fatal signals
 * @name: process name for the last line; copied
 *
 * Call it after Log_open(). Signals that already have a handler, such as one
 * of a sanitizer, keep it.
 */
void Diagnostics_start(const char *name);

#endif
