#include "LogReport.h"

#include <string.h>

#include "Errors.h"
#include "Histogram.h"
#include "LogLine.h"

/* Customers in the table of those that were refused most: enough to find one
 * that takes more than its share. */
#define CUSTOMERS_MAX 10

/* Requests of one route, second or upstream, by outcome. */
typedef struct {
    guint done;
    guint complete;
    guint late_first; /* first event later than the route's target */
    guint late_pause; /* a pause longer than the route's target */
    guint refused;
    guint cut;                     /* failed after the answer had started */
    Histogram_t first_event_times; /* time to the first event, us */
} RequestCounts_t;

/* Requests whose upstream obtained the shared prefix in the same way. */
typedef struct {
    guint placed;
    Histogram_t move_times;        /* expected transfer time, us */
    Histogram_t first_event_times; /* measured time to the first event, us */
} SupplyCounts_t;

/* Requests of one rank or customer, by why they were refused. */
typedef struct {
    const char *name; /* key of the table that it is in */
    guint done;
    guint overloaded;
    guint limited; /* by the customer's limit */
    guint other;   /* refused for any other reason */
    guint late;    /* complete, but later than the route's targets */
} RefusalCounts_t;

typedef struct {
    GHashTable *routes;    /* name -> RequestCounts_t */
    GHashTable *seconds;   /* second of the start -> RequestCounts_t */
    GHashTable *upstreams; /* name of the last upstream -> RequestCounts_t */
    GHashTable *refusals;  /* "reason run" -> count */
    GHashTable *failures;  /* "upstream reason" -> count */
    GHashTable *supplies;  /* kind -> SupplyCounts_t */
    GHashTable *supply_of; /* request id -> kind of its last placement */
    GHashTable *ranks;     /* rank -> RefusalCounts_t */
    GHashTable *customers; /* name -> RefusalCounts_t */
    guint done;
} Report_t;

static RequestCounts_t *
find_or_create_counts(GHashTable *table, const char *key)
{
    RequestCounts_t *counts = g_hash_table_lookup(table, key);
    if (!counts) {
        counts = g_new0(RequestCounts_t, 1);
        g_hash_table_insert(table, g_strdup(key), counts);
    }
    return counts;
}

static RefusalCounts_t *
find_or_create_refusals(GHashTable *table, const char *name)
{
    RefusalCounts_t *counts = g_hash_table_lookup(table, name);
    if (!counts) {
        char *key = g_strdup(name);
        counts = g_new0(RefusalCounts_t, 1);
        counts->name = key;
        g_hash_table_insert(table, key, counts);
    }
    return counts;
}

static SupplyCounts_t *
find_or_create_supply(Report_t *this, const char *kind)
{
    SupplyCounts_t *counts = g_hash_table_lookup(this->supplies, kind);
    if (!counts) {
        counts = g_new0(SupplyCounts_t, 1);
        g_hash_table_insert(this->supplies, g_strdup(kind), counts);
    }
    return counts;
}

static void
count_pair(GHashTable *table, const char *text, const char *first,
           const char *second)
{
    g_autofree char *first_value = LogLine_value(text, first);
    g_autofree char *second_value = LogLine_value(text, second);
    char *key = g_strconcat(first_value ? first_value : "none", " ",
                            second_value ? second_value : "none", NULL);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
    g_hash_table_replace(table, key, GUINT_TO_POINTER(count + 1));
}

/* An upstream may not mark the end of its answer. */
static gboolean
is_answered(const char *text)
{
    return LogLine_hasPair(text, " outcome=whole") ||
           LogLine_hasPair(text, " outcome=closed");
}

static void
note_outcome(RequestCounts_t *counts, const char *text)
{
    gint64 first_us = LogLine_number(text, " first_us=", 0);
    gboolean has_started = LogLine_number(text, " events=", 0) > 0;
    counts->done++;
    if (first_us > 0) {
        Histogram_record(&counts->first_event_times, (guint64)first_us);
    }
    if (is_answered(text)) {
        counts->complete++;
        counts->late_first += LogLine_hasPair(text, " late=first") ? 1 : 0;
        counts->late_pause += LogLine_hasPair(text, " late=pause") ? 1 : 0;
    }
    else if (has_started) {
        counts->cut++;
    }
    else {
        counts->refused++;
    }
}

static void
note_supply(Report_t *this, const char *text)
{
    g_autofree char *request = LogLine_value(text, " request=");
    const char *kind =
        request ? g_hash_table_lookup(this->supply_of, request) : NULL;
    gint64 first_us = LogLine_number(text, " first_us=", 0);
    if (kind && first_us > 0) {
        Histogram_record(&find_or_create_supply(this, kind)->first_event_times,
                         (guint64)first_us);
    }
}

static gboolean
is_late(const char *text)
{
    return LogLine_hasPair(text, " late=first") ||
           LogLine_hasPair(text, " late=pause");
}

/* A request that was cut, after an event was forwarded, is not refused. */
static void
note_refusal(GHashTable *table, const char *text, const char *key)
{
    g_autofree char *value = LogLine_value(text, key);
    RefusalCounts_t *counts =
        find_or_create_refusals(table, value && *value ? value : "none");
    counts->done++;
    if (is_answered(text)) {
        counts->late += is_late(text) ? 1 : 0;
    }
    else if (LogLine_number(text, " events=", 0) > 0) {
        return;
    }
    else if (LogLine_hasPair(text, " outcome=overloaded")) {
        counts->overloaded++;
    }
    else if (LogLine_hasPair(text, " outcome=rate_limited")) {
        counts->limited++;
    }
    else {
        counts->other++;
    }
}

static void
note_done(Report_t *this, const char *text)
{
    gint64 stamp_us = 0;
    if (!LogLine_readStamp(text, &stamp_us) ||
        LogLine_hasPair(text, " outcome=forwarded")) {
        return; /* as the other router has a line of it */
    }
    gint64 started_us = stamp_us - LogLine_number(text, " us=", 0);
    g_autofree char *route = LogLine_value(text, " route=");
    g_autofree char *service = LogLine_value(text, " service=");
    g_autofree char *upstream = LogLine_value(text, " upstream=");
    g_autofree char *second =
        g_strdup_printf("%" G_GINT64_FORMAT, started_us / G_USEC_PER_SEC);
    const char *name = route ? route : service ? service : "none";
    this->done++;
    note_outcome(find_or_create_counts(this->routes, name), text);
    note_outcome(find_or_create_counts(this->seconds, second), text);
    note_outcome(
        find_or_create_counts(this->upstreams, upstream ? upstream : "none"),
        text);
    note_supply(this, text);
    note_refusal(this->ranks, text, " rank=");
    note_refusal(this->customers, text, " customer=");
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
    SupplyCounts_t *counts = find_or_create_supply(this, kind);
    counts->placed++;
    Histogram_record(&counts->move_times,
                     (guint64)MAX(LogLine_number(text, " move_us=", 0), 0));
    g_hash_table_replace(this->supply_of, request, kind);
}

static void
process_line(void *owner, const char *text)
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

/* gnuplot requires two empty lines between data blocks. */
static void
write_heading(GString *out, const char *name, const char *columns)
{
    g_string_append_printf(out, "%s# %s\n# %s\n", out->len > 0 ? "\n\n" : "",
                           name, columns);
}

static void
write_request_counts(GString *out, const char *name, GHashTable *table)
{
    g_autoptr(GList) keys = sorted_keys(table);
    write_heading(out, name,
                  "name requests whole late_first late_pause refused cut "
                  "first_p50_ms first_p99_ms");
    for (GList *at = keys; at; at = at->next) {
        const RequestCounts_t *counts = g_hash_table_lookup(table, at->data);
        g_string_append_printf(
            out, "%s %u %u %u %u %u %u %.1f %.1f\n", (const char *)at->data,
            counts->done, counts->complete, counts->late_first,
            counts->late_pause, counts->refused, counts->cut,
            quantile_ms(&counts->first_event_times, 0.5),
            quantile_ms(&counts->first_event_times, 0.99));
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
        const SupplyCounts_t *counts =
            g_hash_table_lookup(this->supplies, at->data);
        g_string_append_printf(out, "%s %u %.1f %.1f %.1f\n",
                               (const char *)at->data, counts->placed,
                               quantile_ms(&counts->move_times, 0.5),
                               quantile_ms(&counts->first_event_times, 0.5),
                               quantile_ms(&counts->first_event_times, 0.99));
    }
}

static guint
count_refused(const RefusalCounts_t *counts)
{
    return counts->overloaded + counts->limited + counts->other;
}

static gint
compare_names(gconstpointer first, gconstpointer second)
{
    const RefusalCounts_t *one = first;
    const RefusalCounts_t *other = second;
    gint64 one_rank = g_ascii_strtoll(one->name, NULL, 10);
    gint64 other_rank = g_ascii_strtoll(other->name, NULL, 10);
    return one_rank != other_rank ? (one_rank < other_rank ? -1 : 1)
                                  : strcmp(one->name, other->name);
}

/* Most refused first, then most requests. */
static gint
compare_refused(gconstpointer first, gconstpointer second)
{
    const RefusalCounts_t *one = first;
    const RefusalCounts_t *other = second;
    guint one_refused = count_refused(one);
    guint other_refused = count_refused(other);
    if (one_refused != other_refused) {
        return one_refused > other_refused ? -1 : 1;
    }
    if (one->done != other->done) {
        return one->done > other->done ? -1 : 1;
    }
    return strcmp(one->name, other->name);
}

static void
write_refusals(GString *out, const char *name, GHashTable *table,
               GCompareFunc compare, guint rows_max)
{
    g_autoptr(GList) rows =
        g_list_sort(g_hash_table_get_values(table), compare);
    guint written = 0;
    write_heading(out, name, "name requests overloaded limited other late");
    for (GList *at = rows; at && written < rows_max; at = at->next) {
        const RefusalCounts_t *counts = at->data;
        g_string_append_printf(out, "%s %u %u %u %u %u\n", counts->name,
                               counts->done, counts->overloaded,
                               counts->limited, counts->other, counts->late);
        written++;
    }
}

static GString *
write_report(const Report_t *this)
{
    GString *out = g_string_new(NULL);
    write_request_counts(out, "routes", this->routes);
    write_request_counts(out, "seconds", this->seconds);
    write_request_counts(out, "upstreams", this->upstreams);
    write_counts(out, "refusals", "reason run count", this->refusals);
    write_counts(out, "failures", "upstream reason count", this->failures);
    write_supplies(out, this);
    write_refusals(out, "ranks", this->ranks, compare_names, G_MAXUINT);
    write_refusals(out, "customers", this->customers, compare_refused,
                   CUSTOMERS_MAX);
    return out;
}

static GHashTable *
create_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
}

static void
destroy_tables(Report_t *this)
{
    g_hash_table_destroy(this->routes);
    g_hash_table_destroy(this->seconds);
    g_hash_table_destroy(this->upstreams);
    g_hash_table_destroy(this->refusals);
    g_hash_table_destroy(this->failures);
    g_hash_table_destroy(this->supplies);
    g_hash_table_destroy(this->supply_of);
    g_hash_table_destroy(this->ranks);
    g_hash_table_destroy(this->customers);
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
        .supply_of = create_table(g_free),
        .ranks = create_table(g_free),
        .customers = create_table(g_free),
    };
    if (LogLine_forEach(paths, process_line, &this, error)) {
        if (this.done > 0) {
            out = write_report(&this);
        }
        else {
            g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY,
                                "no log line describes a request");
        }
    }
    destroy_tables(&this);
    return out;
}
