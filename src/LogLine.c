#include "LogLine.h"

#include <string.h>

#include "Errors.h"

gboolean
LogLine_readStamp(const char *text, gint64 *stamp_us)
{
    const char *at = strchr(text, '>');
    gsize length = at ? strcspn(at + 1, " ") : 0;
    if (!strstr(text, " event=") || length == 0) {
        return FALSE;
    }
    g_autofree char *stamp = g_strndup(at + 1, length);
    GDateTime *time = g_date_time_new_from_iso8601(stamp, NULL);
    if (!time) {
        return FALSE;
    }
    *stamp_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
                g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return TRUE;
}

/* Returns the closing quote of a value, or the end of a truncated line.
 * @at: first character after the opening quote */
static const char *
end_of_quoted(const char *at)
{
    while (*at && *at != '"' && !(at[0] == '\\' && at[1] == '\0')) {
        at += *at == '\\' ? 2 : 1;
    }
    return at;
}

/* A blank ends a pair, unless it is inside a quoted value. */
static const char *
end_of_pair(const char *at)
{
    const char *equals = at + strcspn(at, " =");
    if (equals[0] == '=' && equals[1] == '"') {
        at = end_of_quoted(equals + 2);
    }
    return at + strcspn(at, " ");
}

/* Finds a pair or key, which begins with a blank, outside of quoted values. */
static const char *
find_pair(const char *at, const char *pair)
{
    while (*at && !g_str_has_prefix(at, pair)) {
        at = end_of_pair(*at == ' ' ? at + 1 : at);
    }
    return *at ? at : NULL;
}

gboolean
LogLine_hasPair(const char *text, const char *pair)
{
    gsize length = strlen(pair);
    for (const char *at = find_pair(text, pair); at;
         at = find_pair(at + 1, pair)) {
        if (at[length] == '\0' || at[length] == ' ') {
            return TRUE;
        }
    }
    return FALSE;
}

char *
LogLine_value(const char *text, const char *key)
{
    const char *at = find_pair(text, key);
    if (!at) {
        return NULL;
    }
    at += strlen(key);
    if (*at == '"') {
        at++;
        g_autofree char *escaped =
            g_strndup(at, (gsize)(end_of_quoted(at) - at));
        return g_strcompress(escaped);
    }
    return g_strndup(at, strcspn(at, " "));
}

gint64
LogLine_number(const char *text, const char *key, gint64 missing)
{
    g_autofree char *value = LogLine_value(text, key);
    char *end = NULL;
    gint64 number = value ? g_ascii_strtoll(value, &end, 10) : 0;
    return value && end != value && *end == '\0' ? number : missing;
}

gboolean
LogLine_forEach(char **paths, void (*handle_line)(void *owner, const char *),
                void *owner, GError **error)
{
    for (char **path = paths; *path; path++) {
        g_autofree char *content = NULL;
        g_autoptr(GError) cause = NULL;
        if (!g_file_get_contents(*path, &content, NULL, &cause)) {
            g_set_error_literal(error, WT_ERROR, WT_ERROR_FILE_UNREADABLE,
                                cause->message);
            return FALSE;
        }
        g_auto(GStrv) texts = g_strsplit(content, "\n", -1);
        for (guint i = 0; texts[i]; i++) {
            handle_line(owner, texts[i]);
        }
    }
    return TRUE;
}
