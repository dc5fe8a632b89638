#include "LogStory.h"

#include <string.h>

#include "Errors.h"
#include "LogLine.h"

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
take_line(void *owner, const char *text)
{
    Story_t *this = owner;
    Line_t line = {0};
    if (!LogLine_readStamp(text, &line.stamp_us)) {
        return;
    }
    if (LogLine_hasPair(text, this->wanted->str)) {
        this->first_us = MIN(this->first_us, line.stamp_us);
        this->last_us = MAX(this->last_us, line.stamp_us);
        note_upstream(this, text);
    }
    line.text = g_strdup(text);
    g_array_append_val(this->lines, line);
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
        if (LogLine_hasPair(line->text, pair)) {
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
        if (LogLine_hasPair(line->text, this->wanted->str) ||
            is_about_upstream(this, line)) {
            g_string_append_printf(out, "%s\n", line->text);
        }
    }
    return out;
}

static GString *
tell(Story_t *this, const char *request, char **paths, GError **error)
{
    if (!LogLine_eachOf(paths, take_line, this, error)) {
        return NULL;
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
