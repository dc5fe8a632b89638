#include "Counters.h"

#define OVERFLOW_NAME "counters_overflow"

struct Counters {
    GTree *values;     /* full name -> guint64 */
    GTree *histograms; /* name -> Histogram_t */
};

typedef struct {
    const char *prefix;
    CountersVisit_t visit;
    void *data;
} CounterVisitor_t;

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return g_strcmp0(a, b);
}

Counters_t *
Counters_create(void)
{
    Counters_t *this = g_new0(Counters_t, 1);
    this->values = g_tree_new_full(compare_names, NULL, g_free, g_free);
    this->histograms = g_tree_new_full(compare_names, NULL, g_free, g_free);
    return this;
}

void
Counters_destroy(Counters_t *this)
{
    g_tree_destroy(this->values);
    g_tree_destroy(this->histograms);
    g_free(this);
}

static char *
full_name(const char *name, const char *labels)
{
    return labels ? g_strdup_printf("%s{%s}", name, labels) : g_strdup(name);
}

static guint64 *
find_or_create(Counters_t *this, const char *name)
{
    guint64 *value = g_tree_lookup(this->values, name);
    if (value) {
        return value;
    }
    gboolean full = g_tree_nnodes(this->values) >= COUNTERS_MAX;
    if (full && g_strcmp0(name, OVERFLOW_NAME) != 0) {
        return find_or_create(this, OVERFLOW_NAME);
    }
    value = g_new0(guint64, 1);
    g_tree_insert(this->values, g_strdup(name), value);
    return value;
}

void
Counters_add(Counters_t *this, const char *name, const char *labels,
             guint64 amount)
{
    g_autofree char *full = full_name(name, labels);
    *find_or_create(this, full) += amount;
}

void
Counters_observe(Counters_t *this, const char *name, guint64 microseconds)
{
    Histogram_t *histogram = g_tree_lookup(this->histograms, name);
    if (!histogram) {
        histogram = g_new0(Histogram_t, 1);
        g_tree_insert(this->histograms, g_strdup(name), histogram);
    }
    Histogram_record(histogram, microseconds);
}

guint64
Counters_value(const Counters_t *this, const char *name, const char *labels)
{
    g_autofree char *full = full_name(name, labels);
    const guint64 *value = g_tree_lookup(this->values, full);
    return value ? *value : 0;
}

static gboolean
visit_value(gpointer key, gpointer value, gpointer data)
{
    const CounterVisitor_t *visitor = data;
    if (g_str_has_prefix(key, visitor->prefix)) {
        visitor->visit(key, *(guint64 *)value, visitor->data);
    }
    return FALSE;
}

static void
visit_suffix(const CounterVisitor_t *visitor, const char *name,
             const char *suffix, guint64 value)
{
    g_autofree char *full = g_strconcat(name, suffix, NULL);
    visitor->visit(full, value, visitor->data);
}

static gboolean
visit_histogram(gpointer key, gpointer value, gpointer data)
{
    const CounterVisitor_t *visitor = data;
    const Histogram_t *histogram = value;
    if (!g_str_has_prefix(key, visitor->prefix)) {
        return FALSE;
    }
    visit_suffix(visitor, key, "_count", histogram->count);
    visit_suffix(visitor, key, "_sum", histogram->sum);
    visit_suffix(visitor, key, "{quantile=\"0.5\"}",
                 Histogram_quantile(histogram, 0.5));
    visit_suffix(visitor, key, "{quantile=\"0.95\"}",
                 Histogram_quantile(histogram, 0.95));
    visit_suffix(visitor, key, "{quantile=\"0.99\"}",
                 Histogram_quantile(histogram, 0.99));
    return FALSE;
}

void
Counters_forEach(const Counters_t *this, const char *prefix,
                 CountersVisit_t visit, void *data)
{
    CounterVisitor_t visitor = {prefix, visit, data};
    g_tree_foreach(this->values, visit_value, &visitor);
    g_tree_foreach(this->histograms, visit_histogram, &visitor);
}
