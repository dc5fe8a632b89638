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

/* Behind the first quote, up to the last; a line may be cut before it. */
static const char *
end_of_quoted(const char *at)
{
    while (*at && *at != '"' && !(at[0] == '\\' && at[1] == '\0')) {
        at += *at == '\\' ? 2 : 1;
    }
    return at;
}

/* Blanks in quotes, which follow a key's sign, do not end a word. */
static const char *
end_of_word(const char *at)
{
    const char *sign = at + strcspn(at, " =");
    if (sign[0] == '=' && sign[1] == '"') {
        at = end_of_quoted(sign + 2);
    }
    return at + strcspn(at, " ");
}

/* Where a text that begins with a blank stands, but for those in quotes. */
static const char *
find_pair(const char *at, const char *pair)
{
    while (*at && !g_str_has_prefix(at, pair)) {
        at = end_of_word(*at == ' ' ? at + 1 : at);
    }
    return *at ? at : NULL;
}

/* A pair ends at a blank or with its line. */
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
LogLine_eachOf(char **paths, void (*take)(void *owner, const char *),
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
            take(owner, texts[i]);
        }
    }
    return TRUE;
}
