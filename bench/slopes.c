/**
 * DOC: slopes
 *
 * Measures the memory per stored object and the processor time per decision,
 * for docs/CAPACITY.md. Memory is what the allocator reports as in use; time
 * is the processor time of the process.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ConfigStore.h"
#include "Policies.h"
#include "Random.h"
#include "RateCountTable.h"
#include "Residency.h"
#include "Salt.h"
#include "Trace.h"
#include "UpstreamSet.h"

#define CUSTOMER_COUNT 14000
#define PREFIX_COUNT 65536
#define DECISION_COUNT 20000
#define REPEAT_COUNT 2000
#define HALL_COUNT 27
#define REGION_COUNT 12

static double
cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static size_t
memory_in_use(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
print_row(const char *what, double value, const char *unit)
{
    printf("%-58s %10.2f %s\n", what, value, unit);
}

static void
fold_record(ConfigStore_t *store, guint64 offset, const char *kind,
            const char *name, const char *const *pairs)
{
    Wt__Field fields[8];
    Wt__Field *list[8];
    Wt__Change change = WT__CHANGE__INIT;
    Wt__Change *changes[] = {&change};
    Wt__ConfigRecord record = WT__CONFIG_RECORD__INIT;
    for (gsize i = 0; pairs[2 * i]; i++) {
        wt__field__init(&fields[i]);
        fields[i].key = (char *)pairs[2 * i];
        fields[i].value = (char *)pairs[2 * i + 1];
        list[i] = &fields[i];
        change.n_fields = i + 1;
    }
    change.fields = list;
    change.kind = (char *)kind;
    change.name = (char *)name;
    record.command_id.data = (guint8 *)&offset;
    record.command_id.len = sizeof(offset);
    record.n_changes = 1;
    record.changes = changes;
    gsize size = wt__config_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__config_record__pack(&record, bytes);
    GBytes *packed = g_bytes_new_take(bytes, size);
    ConfigStore_fold(store, offset, packed);
    g_bytes_unref(packed);
}

static void
measure_customers(void)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    size_t memory_before = memory_in_use();
    double start_us = cpu_us();
    for (guint64 i = 0; i < CUSTOMER_COUNT; i++) {
        g_autofree char *name = g_strdup_printf("customer-%u", (guint)i);
        g_autofree char *hash = g_strdup_printf("%064x", (guint)i);
        const char *pairs[] = {"key_hash", hash,           "rate",
                               "100",      "max_priority", "high",
                               "class",    "standard",     NULL};
        fold_record(store, i, "customer", name, pairs);
    }
    print_row("a declared customer",
              (double)(memory_in_use() - memory_before) / CUSTOMER_COUNT,
              "bytes");
    print_row("folding one configuration change",
              (cpu_us() - start_us) / CUSTOMER_COUNT, "us");
    guint8 digest[16];
    start_us = cpu_us();
    ConfigStore_digest(store, digest);
    print_row("digest over 14,000 customers", (cpu_us() - start_us) / 1000,
              "ms");
    ConfigStore_destroy(store);
}

static void
measure_limits(void)
{
    RateCountTable_t *table = RateCountTable_create();
    RateClaim_t claim = {.limit = {.per_s = 100, .burst = 100}, .units = 1};
    size_t memory_before = memory_in_use();
    double start_us = cpu_us();
    for (guint i = 0; i < CUSTOMER_COUNT; i++) {
        g_autofree char *name = g_strdup_printf("customer-%u", i);
        claim.subject = name;
        claim.from = i + 1;
        RateCountTable_decide(table, &claim, 0);
    }
    print_row("count of a customer's limit",
              (double)(memory_in_use() - memory_before) / CUSTOMER_COUNT,
              "bytes");
    print_row("deciding one request by a limit",
              (cpu_us() - start_us) / CUSTOMER_COUNT, "us");
    RateCountTable_destroy(table);
}

static GPtrArray *
create_upstreams(guint count)
{
    GPtrArray *list = g_ptr_array_new();
    for (guint i = 0; i < count; i++) {
        g_autofree char *name = g_strdup_printf("engine-%u", i);
        UpstreamSpec_t spec = {.hall = g_string_new(NULL),
                               .region = g_string_new(NULL),
                               .serves = g_ptr_array_new(),
                               .slots = 100};
        g_string_printf(spec.hall, "hall-%u", i % HALL_COUNT);
        g_string_printf(spec.region, "region-%u",
                        i % HALL_COUNT % REGION_COUNT);
        g_ptr_array_add(list, Upstream_create(NULL, name, &spec, 0));
        g_string_free(spec.hall, TRUE);
        g_string_free(spec.region, TRUE);
        g_ptr_array_unref(spec.serves);
    }
    return list;
}

static Placement_t
create_placement(const GPtrArray *upstreams, guint64 request)
{
    guint64 history = (request % 5000) * 0x9e3779b97f4a7c15U;
    return (Placement_t){.target = "m",
                         .serving = upstreams,
                         .generation = 1,
                         .level_count = 2,
                         .levels = {history & 0xff, history},
                         .level_tokens = {1500, 5500},
                         .prompt_tokens = 5560,
                         .hall = "hall-0",
                         .region = "region-0",
                         .now_ms = 1000};
}

static void
measure_decisions(PolicyName_t name, guint count)
{
    size_t memory_before = memory_in_use();
    GPtrArray *upstreams = create_upstreams(count);
    double bytes_each = (double)(memory_in_use() - memory_before) / count;
    Policy_t *policy = Policies_create(name);
    double start_us = cpu_us();
    Placement_t first = create_placement(upstreams, 0);
    Policy_choose(policy, &first);
    double ring_us = cpu_us() - start_us;
    start_us = cpu_us();
    for (guint64 i = 0; i < DECISION_COUNT; i++) {
        Placement_t request = create_placement(upstreams, i);
        Choice_t choice = Policy_choose(policy, &request);
        Policy_commit(policy, &request, &choice);
        Policy_learn(policy, &request, choice.upstream, 0, 0);
    }
    g_autofree char *what =
        g_strdup_printf("a decision of %s among %u upstreams, with learning",
                        policy->class->name, count);
    print_row(what, (cpu_us() - start_us) / DECISION_COUNT, "us");
    g_autofree char *rings_text =
        g_strdup_printf("rings of %u upstreams", count);
    print_row(rings_text, ring_us / 1000, "ms");
    print_row("an upstream", bytes_each, "bytes");
    Policy_destroy(policy);
    for (guint i = 0; i < count; i++) {
        Upstream_unref(g_ptr_array_index(upstreams, i));
    }
    g_ptr_array_unref(upstreams);
}

static void
measure_prefixes(void)
{
    GPtrArray *upstreams = create_upstreams(1);
    Residency_t *table = Residency_create(PREFIX_COUNT);
    size_t memory_before = memory_in_use();
    for (guint64 i = 0; i < PREFIX_COUNT; i++) {
        Residency_note(table, i, g_ptr_array_index(upstreams, 0), 1);
    }
    print_row("a stored prefix",
              (double)(memory_in_use() - memory_before) / PREFIX_COUNT,
              "bytes");
    Residency_destroy(table);
    Upstream_unref(g_ptr_array_index(upstreams, 0));
    g_ptr_array_unref(upstreams);
}

static void
measure_prompts(void)
{
    GString *text = g_string_new("{\"model\":\"m\",\"messages\":["
                                 "{\"role\":\"system\",\"content\":\"");
    for (guint i = 0; i < 6000; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\"},{\"role\":\"user\",\"content\":\"");
    for (guint i = 0; i < 16000; i++) {
        g_string_append_c(text, 'y');
    }
    g_string_append(text, "\"},{\"role\":\"user\",\"content\":\"z\"}]}");
    gboolean bad_json = FALSE;
    double start_us = cpu_us();
    for (guint i = 0; i < REPEAT_COUNT; i++) {
        Prompt_destroy(
            Prompt_create(TRUE, text->str, text->len, &bad_json, NULL));
    }
    print_row("parsing a prompt of 22 KB",
              (cpu_us() - start_us) / REPEAT_COUNT, "us");
    guint8 key[32] = {0};
    GBytes *bytes = g_bytes_new(key, sizeof(key));
    SaltInput_t input = {"customer", "model", "v1", "", ""};
    char salt[SALT_LENGTH + 1];
    start_us = cpu_us();
    for (guint i = 0; i < REPEAT_COUNT; i++) {
        Salt_make(&input, bytes, salt);
    }
    print_row("making a cache salt", (cpu_us() - start_us) / REPEAT_COUNT,
              "us");
    g_bytes_unref(bytes);
    g_string_free(text, TRUE);
}

static void
measure_traces(void)
{
    Traces_t *traces = Traces_create();
    size_t memory_before = memory_in_use();
    for (guint i = 0; i < TRACES_MAX; i++) {
        Trace_t *trace =
            Trace_create("0123456789abcdef0123456789abcdef", "customer", "m");
        Trace_addAttempt(trace, "engine-1", "holder");
        Traces_add(traces, trace);
    }
    print_row("the trace of an ended request",
              (double)(memory_in_use() - memory_before) / TRACES_MAX, "bytes");
    Traces_destroy(traces);
}

int
main(void)
{
    if (sodium_init() < 0) {
        return 1;
    }
    Random_seed(1);
    measure_customers();
    measure_limits();
    measure_decisions(POLICY_PREFIX, 10);
    measure_decisions(POLICY_HOME, 10);
    measure_decisions(POLICY_PREFIX, 100);
    measure_decisions(POLICY_HOME, 100);
    measure_decisions(POLICY_PREFIX, 1000);
    measure_decisions(POLICY_HOME, 1000);
    measure_decisions(POLICY_PREFIX, 12000);
    measure_decisions(POLICY_HOME, 12000);
    measure_prefixes();
    measure_prompts();
    measure_traces();
    return 0;
}
