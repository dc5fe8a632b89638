#ifndef HEADER_LogReport
#define HEADER_LogReport
/**
 * DOC: LogReport
 *
 * What became of all requests, from saved logs of any number of routers:
 * whole, late, refused and cut by route, by second and by upstream, why, and
 * where the shared parts of prompts came from. The tables are blocks of
 * columns, each under a line with its name, which gnuplot reads as they are
 * (tools/report.gnuplot).
 */
#include <glib.h>

/**
 * LogReport_write() - read the logs and write the tables
 * @paths: files with log lines, ended by NULL
 * @error: WT_ERROR_FILE_UNREADABLE, or WT_ERROR_BAD_BODY where no line tells
 *     of a request
 *
 * Return: the tables, or NULL; freed by the caller
 */
GString *LogReport_write(char **paths, GError **error);

#endif
