#include "Log.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "Clock.h"

/* The budget may gather for so long, for bursts. */
#define BURST_S 4
/* This part of the budget is left to warnings and errors: one in so many. */
#define RESERVED_PART 4

static GString *line;
static char process_name[64] = "wheattiller";
static LogLevel_t most_verbose = LOG_LEVEL_INFO;
static gboolean opened_for_debug;
static gboolean skipped;
static LogLevel_t level_of_line;
static gint64 budget; /* bytes a second, 0 for no bound */
static gint64 room;   /* bytes that may be written now */
static gint64 filled_ms;
static guint left_out;

void
Log_open(const char *name, LogLevel_t most)
{
    g_strlcpy(process_name, name, sizeof(process_name));
    most_verbose = most;
    opened_for_debug = most == LOG_LEVEL_DEBUG;
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void
Log_setLevel(LogLevel_t most)
{
    if (!opened_for_debug) {
        most_verbose = most;
    }
}

void
Log_setBudget(gint64 bytes_a_second)
{
    budget = bytes_a_second;
    room = bytes_a_second * BURST_S;
    filled_ms = Clock_nowMs();
}

static void
refill(void)
{
    gint64 now_ms = Clock_nowMs();
    room = MIN(room + (now_ms - filled_ms) * budget / 1000, budget * BURST_S);
    filled_ms = now_ms;
}

static gboolean
has_room(gsize length)
{
    if (budget == 0) {
        return TRUE;
    }
    refill();
    gint64 reserved = level_of_line <= LOG_LEVEL_WARNING
                          ? 0
                          : budget * BURST_S / RESERVED_PART;
    if (room - reserved < (gint64)length) {
        return FALSE;
    }
    room -= (gint64)length;
    return TRUE;
}

/* A line of which only a part fits into a pipe is cut there. */
static gboolean
put(const char *text, gsize length)
{
    ssize_t written = 0;
    do {
        written = write(STDOUT_FILENO, text, length);
    } while (written < 0 && errno == EINTR);
    return written > 0;
}

static void
tell_left_out(void)
{
    g_autofree char *text = g_strdup_printf(
        "<%d>%s[%d]: event=log_lines_left_out count=%u\n",
        (int)LOG_LEVEL_WARNING, process_name, (int)getpid(), left_out);
    if (put(text, strlen(text))) {
        left_out = 0;
    }
}

void
Log_begin(LogLevel_t level, const char *event)
{
    skipped = level > most_verbose;
    if (skipped) {
        return;
    }
    level_of_line = level;
    if (!line) {
        line = g_string_sized_new(256);
    }
    GDateTime *now = g_date_time_new_now_utc();
    g_autofree char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    g_string_printf(line, "<%d>%s.%03dZ %s[%d]: event=%s", (int)level, stamp,
                    g_date_time_get_microsecond(now) / 1000, process_name,
                    (int)getpid(), event);
    g_date_time_unref(now);
}

static gboolean
needs_quotes(const char *value)
{
    return *value == '\0' || strpbrk(value, " \"\\=\n\r\t") != NULL;
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
    if (!has_room(line->len)) {
        left_out++;
        return;
    }
    if (left_out > 0) {
        tell_left_out();
    }
    if (!put(line->str, line->len)) {
        left_out++;
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
