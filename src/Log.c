#include "Log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static GString *line;
static char process_name[64] = "wheattiller";
static LogLevel_t most_verbose = LOG_LEVEL_INFO;
static gboolean skipped;

void
Log_open(const char *name, LogLevel_t most)
{
    g_strlcpy(process_name, name, sizeof(process_name));
    most_verbose = most;
}

void
Log_begin(LogLevel_t level, const char *event)
{
    skipped = level > most_verbose;
    if (skipped) {
        return;
    }
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
    fwrite(line->str, 1, line->len, stderr);
}

void
Log_error(const char *event, const GError *error)
{
    Log_begin(LOG_LEVEL_ERROR, event);
    Log_number("code", error->code);
    Log_text("reason", error->message);
    Log_end();
}
