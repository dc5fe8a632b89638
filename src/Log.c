#include "Log.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "Clock.h"

/* Unused budget accumulates for this many seconds, to allow bursts. */
#define BURST_S 4
/* 1/RESERVED_DIVISOR of the full allowance is reserved for warnings and
 * errors. */
#define RESERVED_DIVISOR 4
/* Of the clock; a date outside of the years 1970 to 9999 would be no date to
 * GLib, or have no four digits. */
#define TIME_MIN_MS G_GINT64_CONSTANT(0)
#define TIME_MAX_MS G_GINT64_CONSTANT(253402300799999)

static GString *line;
static char process_name[64] = "wheattiller";
static LogLevel_t current_level = LOG_LEVEL_INFO;
static gboolean opened_for_debug;
static gboolean skipped;
static LogLevel_t line_level;
static gint64 budget_bytes_per_s; /* 0 for no limit */
static gint64 allowance;          /* bytes that may be written now */
static gint64 refilled_ms;
static guint dropped_lines; /* since the last log_lines_left_out */
static guint64 dropped_total;

void
Log_open(const char *name, LogLevel_t max_level)
{
    g_strlcpy(process_name, name, sizeof(process_name));
    current_level = max_level;
    opened_for_debug = max_level == LOG_LEVEL_DEBUG;
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void
Log_setLevel(LogLevel_t max_level)
{
    if (!opened_for_debug) {
        current_level = max_level;
    }
}

void
Log_setBudget(gint64 bytes_per_s)
{
    budget_bytes_per_s = bytes_per_s;
    allowance = bytes_per_s * BURST_S;
    refilled_ms = Clock_nowMs();
}

static void
refill_allowance(void)
{
    gint64 now_ms = Clock_nowMs();
    allowance =
        MIN(allowance + (now_ms - refilled_ms) * budget_bytes_per_s / 1000,
            budget_bytes_per_s * BURST_S);
    refilled_ms = now_ms;
}

static gboolean
charge_allowance(gsize length)
{
    if (budget_bytes_per_s == 0) {
        return TRUE;
    }
    refill_allowance();
    gint64 reserved = line_level <= LOG_LEVEL_WARNING
                          ? 0
                          : budget_bytes_per_s * BURST_S / RESERVED_DIVISOR;
    if (allowance - reserved < (gint64)length) {
        return FALSE;
    }
    allowance -= (gint64)length;
    return TRUE;
}

/* A line that fits into the pipe only in part is truncated. */
static gboolean
write_nonblocking(const char *text, gsize length)
{
    ssize_t written = 0;
    do {
        written = write(STDOUT_FILENO, text, length);
    } while (written < 0 && errno == EINTR);
    return written > 0;
}

static void
log_dropped_lines(void)
{
    g_autofree char *text = g_strdup_printf(
        "<%d>%s[%d]: event=log_lines_left_out count=%u\n",
        (int)LOG_LEVEL_WARNING, process_name, (int)getpid(), dropped_lines);
    if (write_nonblocking(text, strlen(text))) {
        dropped_lines = 0;
    }
}

static void
drop_line(void)
{
    dropped_lines++;
    dropped_total++;
}

guint64
Log_droppedTotal(void)
{
    return dropped_total;
}

void
Log_begin(LogLevel_t level, const char *event)
{
    skipped = level > current_level;
    if (skipped) {
        return;
    }
    line_level = level;
    if (!line) {
        line = g_string_sized_new(256);
    }
    gint64 now_ms = CLAMP(Clock_wallMs(), TIME_MIN_MS, TIME_MAX_MS);
    GDateTime *now = g_date_time_new_from_unix_utc(now_ms / 1000);
    g_autofree char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    g_string_printf(line, "<%d>%s.%03dZ %s[%d]: event=%s", (int)level, stamp,
                    (int)(now_ms % 1000), process_name, (int)getpid(), event);
    g_date_time_unref(now);
}

static gboolean
has_control_characters(const char *value)
{
    while (*value && !g_ascii_iscntrl(*value)) {
        value++;
    }
    return *value != '\0';
}

static gboolean
needs_quotes(const char *value)
{
    return *value == '\0' || strpbrk(value, " \"\\=") != NULL ||
           has_control_characters(value) || !g_utf8_validate(value, -1, NULL);
}

void
Log_text(const char *key, const char *value)
{
    if (skipped) {
        return;
    }
    if (!needs_quotes(value)) {
        g_string_append_printf(line, " %s=%s", key, value);
        return;
    }
    g_autofree char *escaped = g_strescape(value, NULL);
    g_string_append_printf(line, " %s=\"%s\"", key, escaped);
}

void
Log_number(const char *key, gint64 value)
{
    if (!skipped) {
        g_string_append_printf(line, " %s=%" G_GINT64_FORMAT, key, value);
    }
}

void
Log_end(void)
{
    if (skipped) {
        return;
    }
    g_string_append_c(line, '\n');
    if (!charge_allowance(line->len)) {
        drop_line();
        return;
    }
    if (dropped_lines > 0) {
        log_dropped_lines();
    }
    if (!write_nonblocking(line->str, line->len)) {
        drop_line();
    }
}

void
Log_error(const char *event, const GError *error)
{
    Log_begin(LOG_LEVEL_ERROR, event);
    Log_number("code", error->code);
    Log_text("reason", error->message);
    Log_end();
}
