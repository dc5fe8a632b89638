#include "LogReport.h"

#include <string.h>

#include "Errors.h"
#include "Histogram.h"
#include "LogLine.h"

/* What became of a group of requests. */
typedef struct {
    guint done;
    guint whole;
    guint late_first; /* began later than its route aims at */
    guint late_pause; /* paused for longer */
    guint refused;
    guint cut;         /* ended after the answer had begun */
    Histogram_t first; /* us to the first event */
} Tally_t;

/* Prompts whose shared part was had in one way. */
typedef struct {
    guint placed;
    Histogram_t move;  /* us, as expected */
    Histogram_t first; /* us to the first event, as measured */
} SupplyTally_t;

typedef struct {
    GHashTable *routes;    /* name -> Tally_t */
    GHashTable *seconds;   /* second of the start -> Tally_t */
    GHashTable *upstreams; /* name of the last one -> Tally_t */
    GHashTable *refusals;  /* "reason run" -> count */
    GHashTable *failures;  /* "upstream reason" -> count */
    GHashTable *supplies;  /* kind -> SupplyTally_t */
    GHashTable *placed;    /* request -> kind of its last placement */
    guint done;
} Report_t;

static Tally_t *
tally_of(GHashTable *table, const char *key)
{
    Tally_t *tally = g_hash_table_lookup(table, key);
    if (!tally) {
        tally = g_new0(Tally_t, 1);
        g_hash_table_insert(table, g_strdup(key), tally);
    }
    return tally;
}

static SupplyTally_t *
supply_of(Report_t *this, const char *kind)
{
    SupplyTally_t *tally = g_hash_table_lookup(this->supplies, kind);
    if (!tally) {
        tally = g_new0(SupplyTally_t, 1);
        g_hash_table_insert(this->supplies, g_strdup(kind), tally);
    }
    return tally;
}

static void
count_pair(GHashTable *table, const char *text, const char *first,
           const char *second)
{
    g_autofree char *one = LogLine_value(text, first);
    g_autofree char *two = LogLine_value(text, second);
    char *key = g_strconcat(one ? one : "none", " ", two ? two : "none", NULL);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
    g_hash_table_replace(table, key, GUINT_TO_POINTER(count + 1));
}

static void
note_outcome(Tally_t *tally, const char *text)
{
    gint64 first_us = LogLine_number(text, " first_us=", 0);
    gboolean begun = LogLine_number(text, " events=", 0) > 0;
    tally->done++;
    if (first_us > 0) {
        Histogram_record(&tally->first, (guint64)first_us);
    }
    if (LogLine_hasPair(text, " outcome=whole")) {
        tally->whole++;
        tally->late_first += LogLine_hasPair(text, " late=first") ? 1 : 0;
        tally->late_pause += LogLine_hasPair(text, " late=pause") ? 1 : 0;
    }
    else if (begun) {
        tally->cut++;
    }
    else {
        tally->refused++;
    }
}

static void
note_supply(Report_t *this, const char *text)
{
    g_autofree char *request = LogLine_value(text, " request=");
    const char *kind =
        request ? g_hash_table_lookup(this->placed, request) : NULL;
    gint64 first_us = LogLine_number(text, " first_us=", 0);
    if (kind && first_us > 0) {
        Histogram_record(&supply_of(this, kind)->first, (guint64)first_us);
    }
}

static void
note_done(Report_t *this, const char *text)
{
    gint64 stamp_us = 0;
    if (!LogLine_readStamp(text, &stamp_us)) {
        return;
    }
    gint64 started_us = stamp_us - LogLine_number(text, " us=", 0);
    g_autofree char *route = LogLine_value(text, " route=");
    g_autofree char *service = LogLine_value(text, " service=");
    g_autofree char *upstream = LogLine_value(text, " upstream=");
    g_autofree char *second =
        g_strdup_printf("%" G_GINT64_FORMAT, started_us / G_USEC_PER_SEC);
    const char *name = route ? route : service ? service : "none";
    this->done++;
    note_outcome(tally_of(this->routes, name), text);
    note_outcome(tally_of(this->seconds, second), text);
    note_outcome(tally_of(this->upstreams, upstream ? upstream : "none"),
                 text);
    note_supply(this, text);
}

static void
note_placed(Report_t *this, const char *text)
{
    char *request = LogLine_value(text, " request=");
    char *kind = LogLine_value(text, " supply=");
    if (!request || !kind) {
        g_free(request);
        g_free(kind);
        return;
    }
    SupplyTally_t *tally = supply_of(this, kind);
    tally->placed++;
    Histogram_record(&tally->move,
                     (guint64)MAX(LogLine_number(text, " move_us=", 0), 0));
    g_hash_table_replace(this->placed, request, kind);
}

static void
take_line(void *owner, const char *text)
{
    Report_t *this = owner;
    if (LogLine_hasPair(text, " event=request_done")) {
        note_done(this, text);
    }
    else if (LogLine_hasPair(text, " event=request_refused")) {
        count_pair(this->refusals, text, " reason=", " run=");
    }
    else if (LogLine_hasPair(text, " event=attempt_failed")) {
        count_pair(this->failures, text, " upstream=", " reason=");
    }
    else if (LogLine_hasPair(text, " event=request_placed")) {
        note_placed(this, text);
    }
}

static double
quantile_ms(const Histogram_t *histogram, double share)
{
    return (double)Histogram_quantile(histogram, share) / 1000;
}

static GList *
sorted_keys(GHashTable *table)
{
    return g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)strcmp);
}

/* gnuplot tells blocks apart by two empty lines. */
static void
write_heading(GString *out, const char *name, const char *columns)
{
    g_string_append_printf(out, "%s# %s\n# %s\n", out->len > 0 ? "\n\n" : "",
                           name, columns);
}

static void
write_tallies(GString *out, const char *name, GHashTable *table)
{
    g_autoptr(GList) keys = sorted_keys(table);
    write_heading(out, name,
                  "name requests whole late_first late_pause refused cut "
                  "first_p50_ms first_p99_ms");
    for (GList *at = keys; at; at = at->next) {
        const Tally_t *tally = g_hash_table_lookup(table, at->data);
        g_string_append_printf(
            out, "%s %u %u %u %u %u %u %.1f %.1f\n", (const char *)at->data,
            tally->done, tally->whole, tally->late_first, tally->late_pause,
            tally->refused, tally->cut, quantile_ms(&tally->first, 0.5),
            quantile_ms(&tally->first, 0.99));
    }
}

static void
write_counts(GString *out, const char *name, const char *columns,
             GHashTable *table)
{
    g_autoptr(GList) keys = sorted_keys(table);
    write_heading(out, name, columns);
    for (GList *at = keys; at; at = at->next) {
        g_string_append_printf(
            out, "%s %u\n", (const char *)at->data,
            GPOINTER_TO_UINT(g_hash_table_lookup(table, at->data)));
    }
}

static void
write_supplies(GString *out, const Report_t *this)
{
    g_autoptr(GList) keys = sorted_keys(this->supplies);
    write_heading(out, "supplies",
                  "kind placed move_p50_ms first_p50_ms first_p99_ms");
    for (GList *at = keys; at; at = at->next) {
        const SupplyTally_t *tally =
            g_hash_table_lookup(this->supplies, at->data);
        g_string_append_printf(
            out, "%s %u %.1f %.1f %.1f\n", (const char *)at->data,
            tally->placed, quantile_ms(&tally->move, 0.5),
            quantile_ms(&tally->first, 0.5), quantile_ms(&tally->first, 0.99));
    }
}

static GString *
write_report(const Report_t *this)
{
    GString *out = g_string_new(NULL);
    write_tallies(out, "routes", this->routes);
    write_tallies(out, "seconds", this->seconds);
    write_tallies(out, "upstreams", this->upstreams);
    write_counts(out, "refusals", "reason run count", this->refusals);
    write_counts(out, "failures", "upstream reason count", this->failures);
    write_supplies(out, this);
    return out;
}

static GHashTable *
create_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
}

static void
clear(Report_t *this)
{
    g_hash_table_destroy(this->routes);
    g_hash_table_destroy(this->seconds);
    g_hash_table_destroy(this->upstreams);
    g_hash_table_destroy(this->refusals);
    g_hash_table_destroy(this->failures);
    g_hash_table_destroy(this->supplies);
    g_hash_table_destroy(this->placed);
}

GString *
LogReport_write(char **paths, GError **error)
{
    GString *out = NULL;
    Report_t this = {
        .routes = create_table(g_free),
        .seconds = create_table(g_free),
        .upstreams = create_table(g_free),
        .refusals = create_table(NULL),
        .failures = create_table(NULL),
        .supplies = create_table(g_free),
        .placed = create_table(g_free),
    };
    if (LogLine_eachOf(paths, take_line, &this, error)) {
        if (this.done > 0) {
            out = write_report(&this);
        }
        else {
            g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY,
                                "no line tells of a request");
        }
    }
    clear(&this);
    return out;
}
