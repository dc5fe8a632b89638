#ifndef HEADER_Log
#define HEADER_Log
/**
 * DOC: Log
 *
 * Syslog-style lines on standard output, one for each event, as key=value
 * pairs. A line is built with Log_begin(), any number of Log_text() and
 * Log_number(), and Log_end(). Prompts, keys and tokens are never logged.
 *
 * Writing never blocks: a line that the reader has no room for is left out,
 * and so is what exceeds the budget of bytes a second; the last part of the
 * budget is kept for warnings and errors. How many were left out is told by
 * a line of its own as soon as there is room.
 */
#include <glib.h>

/**
 * enum LogLevel_t - syslog's severities, as far as they are used
 */
typedef enum {
    LOG_LEVEL_ERROR = 3,
    LOG_LEVEL_WARNING = 4,
    LOG_LEVEL_INFO = 6,
    LOG_LEVEL_DEBUG = 7,
} LogLevel_t;

/**
 * Log_open() - name the process and the least severe level that is written
 * @name: shown in each line; copied
 */
void Log_open(const char *name, LogLevel_t most);

/** Log_setLevel() - another least severe level; one that was opened for
 * debugging keeps its own */
void Log_setLevel(LogLevel_t most);

/** Log_setBudget() - most bytes a second; 0 for no bound */
void Log_setBudget(gint64 bytes_a_second);

/**
 * Log_begin() - start a line
 * @event: what happened, in snake_case
 */
void Log_begin(LogLevel_t level, const char *event);

/**
 * Log_text() - add a pair; the value is quoted where it needs to be
 */
void Log_text(const char *key, const char *value);

/**
 * Log_number() - add a pair with a whole number
 */
void Log_number(const char *key, gint64 value);

/**
 * Log_end() - write the line
 */
void Log_end(void);

/**
 * Log_error() - write a whole line for a GError
 */
void Log_error(const char *event, const GError *error);

#endif
