#ifndef HEADER_LogStory
#define HEADER_LogStory
/**
 * DOC: LogStory
 *
 * Tells what became of a request from saved logs of any number of routers:
 * its own lines, and what the routers came to believe of the upstreams that
 * it met around that time, in the order of their stamps.
 */
#include <glib.h>

/**
 * LogStory_tell() - find the lines
 * @request: id of the request
 * @paths: files with log lines, ended by NULL
 * @error: WT_ERROR_FILE_UNREADABLE, or WT_ERROR_BAD_BODY where no line names
 *     the request
 *
 * Return: the lines, or NULL; freed by the caller
 */
GString *LogStory_tell(const char *request, char **paths, GError **error);

#endif
