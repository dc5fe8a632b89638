#include "LogStory.h"

#include <string.h>

#include "Errors.h"

/* Beliefs that changed so long before or after the request's lines are
 * shown: an outage is noticed, and passes, within seconds. */
#define AROUND_US (5 * G_TIME_SPAN_SECOND)

typedef struct {
    gint64 stamp_us;
    char *text;
} Line_t;

typedef struct {
    GString *wanted;       /* " request=ID" */
    GHashTable *upstreams; /* set of " upstream=NAME" */
    GArray *lines;         /* Line_t, all that carry a stamp */
    gint64 first_us;       /* of the request's own lines */
    gint64 last_us;
} Story_t;

static void
clear_line(gpointer line)
{
    g_free(((Line_t *)line)->text);
}

/* A pair ends at a blank or with its line. */
static gboolean
has_pair(const char *text, const char *pair)
{
    gsize length = strlen(pair);
    for (const char *at = strstr(text, pair); at; at = strstr(at + 1, pair)) {
        if (at[length] == '\0' || at[length] == ' ') {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whatever wrote the file may have put something before the line. */
static gboolean
read_stamp(const char *text, gint64 *stamp_us)
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

static void
note_upstream(Story_t *this, const char *text)
{
    const char *at = strstr(text, " upstream=");
    if (at) {
        g_hash_table_add(this->upstreams,
                         g_strndup(at, 1 + strcspn(at + 1, " ")));
    }
}

static void
take_line(Story_t *this, const char *text)
{
    Line_t line = {0};
    if (!read_stamp(text, &line.stamp_us)) {
        return;
    }
    if (has_pair(text, this->wanted->str)) {
        this->first_us = MIN(this->first_us, line.stamp_us);
        this->last_us = MAX(this->last_us, line.stamp_us);
        note_upstream(this, text);
    }
    line.text = g_strdup(text);
    g_array_append_val(this->lines, line);
}

static gboolean
read_file(Story_t *this, const char *path, GError **error)
{
    g_autofree char *content = NULL;
    g_autoptr(GError) cause = NULL;
    if (!g_file_get_contents(path, &content, NULL, &cause)) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_FILE_UNREADABLE,
                            cause->message);
        return FALSE;
    }
    g_auto(GStrv) texts = g_strsplit(content, "\n", -1);
    for (guint i = 0; texts[i]; i++) {
        take_line(this, texts[i]);
    }
    return TRUE;
}

static gboolean
is_about_upstream(const Story_t *this, const Line_t *line)
{
    GHashTableIter iter;
    gpointer pair = NULL;
    if (strstr(line->text, " request=") ||
        line->stamp_us < this->first_us - AROUND_US ||
        line->stamp_us > this->last_us + AROUND_US) {
        return FALSE;
    }
    g_hash_table_iter_init(&iter, this->upstreams);
    while (g_hash_table_iter_next(&iter, &pair, NULL)) {
        if (has_pair(line->text, pair)) {
            return TRUE;
        }
    }
    return FALSE;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    gint64 left = ((const Line_t *)a)->stamp_us;
    gint64 right = ((const Line_t *)b)->stamp_us;
    return (left > right) - (left < right);
}

static GString *
write_story(const Story_t *this)
{
    GString *out = g_string_new(NULL);
    g_array_sort(this->lines, compare_lines);
    for (guint i = 0; i < this->lines->len; i++) {
        const Line_t *line = &g_array_index(this->lines, Line_t, i);
        if (has_pair(line->text, this->wanted->str) ||
            is_about_upstream(this, line)) {
            g_string_append_printf(out, "%s\n", line->text);
        }
    }
    return out;
}

static GString *
tell(Story_t *this, const char *request, char **paths, GError **error)
{
    for (char **path = paths; *path; path++) {
        if (!read_file(this, *path, error)) {
            return NULL;
        }
    }
    if (this->first_us == G_MAXINT64) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "no line names the request %s", request);
        return NULL;
    }
    return write_story(this);
}

GString *
LogStory_tell(const char *request, char **paths, GError **error)
{
    Story_t this = {.first_us = G_MAXINT64, .last_us = G_MININT64};
    this.wanted = g_string_new(" request=");
    g_string_append(this.wanted, request);
    this.upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this.lines = g_array_new(FALSE, FALSE, sizeof(Line_t));
    g_array_set_clear_func(this.lines, clear_line);
    GString *story = tell(&this, request, paths, error);
    g_array_unref(this.lines);
    g_hash_table_destroy(this.upstreams);
    g_string_free(this.wanted, TRUE);
    return story;
}
