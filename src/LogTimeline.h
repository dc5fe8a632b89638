#ifndef HEADER_LogTimeline
#define HEADER_LogTimeline
/**
 * DOC: LogTimeline
 *
 * Timeline of one request from saved logs of one or more routers: the lines of
 * the request, and the lines about state changes of its upstreams around that
 * time, sorted by timestamp.
 */
#include <glib.h>

/**
 * LogTimeline_write() - collect the lines
 * @request: request id
 * @paths: log files, terminated by NULL
 * @error: WT_ERROR_FILE_UNREADABLE, or WT_ERROR_BAD_BODY if no line names the
 *     request
 *
 * Return: the lines, or NULL; freed by the caller
 */
GString *LogTimeline_write(const char *request, char **paths, GError **error);

#endif
