#include "LogTimeline.h"

#include <string.h>

#include "Errors.h"
#include "LogLine.h"

/* Lines about an upstream are included if they are at most this far from the
 * request's lines: routers detect an outage and its end within seconds. */
#define UPSTREAM_CONTEXT_US (5 * G_TIME_SPAN_SECOND)

typedef struct {
    gint64 stamp_us;
    char *text;
} Line_t;

typedef struct {
    GString *request_pair; /* " request=ID" */
    GHashTable *upstreams; /* set of " upstream=NAME" */
    GArray *lines;         /* Line_t, all lines with a timestamp */
    gint64 first_us;       /* timestamps of the request's lines */
    gint64 last_us;
} Timeline_t;

static void
clear_line(gpointer line)
{
    g_free(((Line_t *)line)->text);
}

static void
add_upstream(Timeline_t *this, const char *text)
{
    const char *pair = strstr(text, " upstream=");
    if (pair) {
        g_hash_table_add(this->upstreams,
                         g_strndup(pair, 1 + strcspn(pair + 1, " ")));
    }
}

static void
process_line(void *owner, const char *text)
{
    Timeline_t *this = owner;
    Line_t line = {0};
    if (!LogLine_readStamp(text, &line.stamp_us)) {
        return;
    }
    if (LogLine_hasPair(text, this->request_pair->str)) {
        this->first_us = MIN(this->first_us, line.stamp_us);
        this->last_us = MAX(this->last_us, line.stamp_us);
        add_upstream(this, text);
    }
    line.text = g_strdup(text);
    g_array_append_val(this->lines, line);
}

static gboolean
is_about_upstream(const Timeline_t *this, const Line_t *line)
{
    GHashTableIter iter;
    gpointer pair = NULL;
    if (strstr(line->text, " request=") ||
        line->stamp_us < this->first_us - UPSTREAM_CONTEXT_US ||
        line->stamp_us > this->last_us + UPSTREAM_CONTEXT_US) {
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
format_timeline(const Timeline_t *this)
{
    GString *out = g_string_new(NULL);
    g_array_sort(this->lines, compare_lines);
    for (guint i = 0; i < this->lines->len; i++) {
        const Line_t *line = &g_array_index(this->lines, Line_t, i);
        if (LogLine_hasPair(line->text, this->request_pair->str) ||
            is_about_upstream(this, line)) {
            g_string_append_printf(out, "%s\n", line->text);
        }
    }
    return out;
}

static GString *
collect_timeline(Timeline_t *this, const char *request, char **paths,
                 GError **error)
{
    if (!LogLine_forEach(paths, process_line, this, error)) {
        return NULL;
    }
    if (this->first_us == G_MAXINT64) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "no log line names the request %s", request);
        return NULL;
    }
    return format_timeline(this);
}

GString *
LogTimeline_write(const char *request, char **paths, GError **error)
{
    Timeline_t this = {.first_us = G_MAXINT64, .last_us = G_MININT64};
    this.request_pair = g_string_new(" request=");
    g_string_append(this.request_pair, request);
    this.upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this.lines = g_array_new(FALSE, FALSE, sizeof(Line_t));
    g_array_set_clear_func(this.lines, clear_line);
    GString *timeline = collect_timeline(&this, request, paths, error);
    g_array_unref(this.lines);
    g_hash_table_destroy(this.upstreams);
    g_string_free(this.request_pair, TRUE);
    return timeline;
}
