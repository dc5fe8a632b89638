#ifndef HEADER_LogLine
#define HEADER_LogLine
/**
 * DOC: LogLine
 *
 * Parses lines that Log.h wrote: the timestamp and the key=value pairs. Text
 * that the program which saved the log put before the line is skipped.
 */
#include <glib.h>

/**
 * LogLine_readStamp() - parse the timestamp of a line
 * @stamp_us: microseconds since 1970
 *
 * Return: FALSE if the text was not written by Log.h
 */
gboolean LogLine_readStamp(const char *text, gint64 *stamp_us);

/** LogLine_hasPair() - whether a line has the pair " key=value"; @pair
 * includes the leading blank */
gboolean LogLine_hasPair(const char *text, const char *pair);

/**
 * LogLine_value() - value of a key, unquoted and unescaped
 * @key: " key=", including the leading blank
 *
 * Return: NULL if the line has no such key; freed by the caller
 */
char *LogLine_value(const char *text, const char *key);

/** LogLine_number() - value of a key as an integer, or @missing */
gint64 LogLine_number(const char *text, const char *key, gint64 missing);

/**
 * LogLine_forEach() - call a function for each line of files
 * @paths: terminated by NULL
 * @handle_line: called for each line, file by file
 * @error: WT_ERROR_FILE_UNREADABLE
 */
gboolean LogLine_forEach(char **paths,
                         void (*handle_line)(void *owner, const char *text),
                         void *owner, GError **error);

#endif
