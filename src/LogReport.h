#ifndef HEADER_LogReport
#define HEADER_LogReport
/**
 * DOC: LogReport
 *
 * Summary of all requests in saved logs of one or more routers. Tables count
 * complete, late, refused and cut requests by route, second and upstream, the
 * reasons of refusals and failed attempts, how upstreams obtained the shared
 * prefixes of prompts, and which ranks and customers were refused. Each table
 * is a block of columns under a line with its name; gnuplot reads them without
 * conversion (tools/report.gnuplot).
 */
#include <glib.h>

/**
 * LogReport_write() - read the logs and format the tables
 * @paths: log files, terminated by NULL
 * @error: WT_ERROR_FILE_UNREADABLE, or WT_ERROR_BAD_BODY if no line describes
 *     a request
 *
 * Return: the tables, or NULL; freed by the caller
 */
GString *LogReport_write(char **paths, GError **error);

#endif
