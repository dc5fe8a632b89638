#ifndef HEADER_Log
#define HEADER_Log
/**
 * DOC: Log
 *
 * Syslog-style lines on standard output, one per event, with key=value pairs.
 * A line is built with Log_begin(), any number of Log_text() and
 * Log_number(), and Log_end(). Prompts, keys and tokens are never logged.
 *
 * Writing never blocks. A line is dropped if the pipe is full, if its file
 * can't grow, or if it exceeds the budget of bytes per second; a quarter of
 * the budget is reserved for warnings and errors. The number of dropped lines
 * is logged as soon as a line can be written again.
 */
#include <glib.h>

/**
 * enum LogLevel_t - the syslog severities in use
 */
typedef enum {
    LOG_LEVEL_ERROR = 3,
    LOG_LEVEL_WARNING = 4,
    LOG_LEVEL_INFO = 6,
    LOG_LEVEL_DEBUG = 7,
} LogLevel_t;

/**
 * Log_open() - set the process name and the log level
 * @name: shown in each line; copied
 * @max_level: least severe level that is written
 */
void Log_open(const char *name, LogLevel_t max_level);

/** Log_setLevel() - change the log level; no effect after Log_open() with
 * LOG_LEVEL_DEBUG, so that --verbose overrides the settings */
void Log_setLevel(LogLevel_t max_level);

/** Log_setBudget() - limit the output rate; 0 for no limit */
void Log_setBudget(gint64 bytes_per_s);

/**
 * Log_begin() - start a line
 * @event: name of the event, in snake_case
 */
void Log_begin(LogLevel_t level, const char *event);

/**
 * Log_text() - add a key=value pair; the value is quoted if necessary
 */
void Log_text(const char *key, const char *value);

/**
 * Log_number() - add a key=value pair with an integer
 */
void Log_number(const char *key, gint64 value);

/**
 * Log_end() - write the line
 */
void Log_end(void);

/** Log_droppedTotal() - number of lines dropped since the start */
guint64 Log_droppedTotal(void);

/**
 * Log_error() - write a complete line for a GError
 */
void Log_error(const char *event, const GError *error);

#endif
