#ifndef HEADER_LogLine
#define HEADER_LogLine
/**
 * DOC: LogLine
 *
 * Reads back what Log.h wrote: the stamp of a line and its pairs. Whatever
 * wrote the file may have put something before the line.
 */
#include <glib.h>

/**
 * LogLine_readStamp() - when a line was written
 * @stamp_us: microseconds since 1970
 *
 * Return: FALSE where the text is no line of ours
 */
gboolean LogLine_readStamp(const char *text, gint64 *stamp_us);

/** LogLine_hasPair() - whether it has " key=value"; @pair begins with the
 * blank */
gboolean LogLine_hasPair(const char *text, const char *pair);

/**
 * LogLine_value() - the value of a key as it was before it was quoted
 * @key: " key=", with the blank before it
 *
 * Return: NULL where the line has none; freed by the caller
 */
char *LogLine_value(const char *text, const char *key);

/** LogLine_number() - the value of a key as a whole number, or @missing */
gint64 LogLine_number(const char *text, const char *key, gint64 missing);

/**
 * LogLine_eachOf() - go through the lines of files
 * @paths: ended by NULL
 * @take: gets each line of any file, in their order
 * @error: WT_ERROR_FILE_UNREADABLE
 */
gboolean LogLine_eachOf(char **paths, void (*take)(void *owner, const char *),
                        void *owner, GError **error);

#endif
