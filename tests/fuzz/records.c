/* Fuzz targets for the answers of the stores and for stored records. */
#include <string.h>

#include "ConfigStore.h"
#include "FakeHttp.h"
#include "FleetConfig.h"
#include "FleetLog.h"
#include "FleetOrders.h"
#include "FleetRecords.h"
#include "LogHttp.h"
#include "OrderForm.h"
#include "targets.h"

#define TIMEOUT_MS 1000

static const Address_t address = {"127.0.0.1", 1};

/* Sums all bytes, so that AddressSanitizer detects a read beyond the end. */
static guint
sum_bytes(GBytes *bytes)
{
    gsize size = 0;
    const guint8 *at = bytes ? g_bytes_get_data(bytes, &size) : NULL;
    guint sum = 0;
    for (gsize i = 0; i < size; i++) {
        sum += at[i];
    }
    return sum;
}

/* Counts the answers, as each call must be answered exactly once. */
static void
on_records(const LogRecords_t *records, const GError *error, void *data)
{
    guint *answers = data;
    *answers += 1;
    g_assert(records || error);
    for (guint i = 0; !error && i < records->records->len; i++) {
        sum_bytes(g_ptr_array_index(records->records, i));
    }
}

static void
on_offset(guint64 offset, const GError *error, void *data)
{
    (void)offset;
    (void)error;
    guint *answers = data;
    *answers += 1;
}

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    guint *answers = data;
    *answers += 1;
    g_assert((page == NULL) == (error != NULL));
    for (guint i = 0; page && i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        g_assert_cmpuint(record->key->str[record->key->len], ==, 0);
        sum_bytes(record->value);
    }
}

static int
choose_status(uint8_t byte)
{
    static const int statuses[] = {200, 200, 410, 503};
    return statuses[byte % G_N_ELEMENTS(statuses)];
}

static void
answer_log(LogClient_t *log, int status, const char *body, gsize length)
{
    static void (*const answer[])(int status, const char *body,
                                  gsize length) = {FakeHttp_answer,
                                                   FakeHttp_answerUnframed};
    guint answers = 0;
    GBytes *record = g_bytes_new_static("r", 1);
    for (gsize i = 0; i < G_N_ELEMENTS(answer); i++) {
        LogClient_read(log, "s", 3, 0, on_records, &answers);
        answer[i](status, body, length);
        LogClient_append(log, "s", record, on_offset, &answers);
        answer[i](status, body, length);
    }
    g_assert_cmpuint(answers, ==, 2 * G_N_ELEMENTS(answer));
    g_bytes_unref(record);
    LogClient_destroy(log);
}

int
Fuzz_storeAnswers(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    const char *body = (const char *)data + 1;
    int status = choose_status(data[0]);
    guint answers = 0;
    StoreEpoch_t *epoch = StoreEpoch_create(NULL);
    RecordSource_t *source =
        FleetRecords_create(NULL, &address, TIMEOUT_MS, epoch);
    RecordSource_read(source, "t", 3, 0, on_page, &answers);
    FakeHttp_answer(status, body, size - 1);
    RecordSource_list(source, "t", NULL, on_page, &answers);
    FakeHttp_answer(status, body, size - 1);
    RecordSource_read(source, "t", 3, 0, on_page, &answers);
    FakeHttp_answerUnframed(status, body, size - 1);
    RecordSource_list(source, "t", NULL, on_page, &answers);
    FakeHttp_answerUnframed(status, body, size - 1);
    g_assert_cmpuint(answers, ==, 4);
    RecordSource_destroy(source);
    answer_log(FleetLog_create(NULL, &address, TIMEOUT_MS, epoch), status,
               body, size - 1);
    StoreEpoch_destroy(epoch);
    return 0;
}

int
Fuzz_logAnswers(const uint8_t *data, size_t size)
{
    if (size > 0) {
        StoreEpoch_t *epoch = StoreEpoch_create(NULL);
        answer_log(LogHttp_create(NULL, &address, TIMEOUT_MS, epoch),
                   choose_status(data[0]), (const char *)data + 1, size - 1);
        StoreEpoch_destroy(epoch);
    }
    return 0;
}

/* A route with targets gives a target for every random draw. */
static void
check_targets(const Route_t *route)
{
    guint64 sum = 0;
    for (guint i = 0; i < route->targets->len; i++) {
        sum += g_array_index(route->targets, RouteTarget_t, i).weight;
    }
    g_assert(route->weight_sum == sum);
    g_assert(
        route->targets->len == 0 ||
        (Route_pickTarget(route, 0) && Route_pickTarget(route, G_MAXUINT32)));
}

static void
check_config(const RouteConfig_t *config)
{
    for (guint i = 0; i < config->routes->len; i++) {
        const Route_t *route = g_ptr_array_index(config->routes, i);
        g_assert_cmpuint(route->max_attempts, >=, 1);
        check_targets(route);
        RouteConfig_findRoute(config, route->host->str, route->prefix->str);
    }
    RouteConfig_findRoute(config, "h:80", "/p/1");
    RouteConfig_findCustomer(config, "k");
}

static void
check_upstream(GBytes *value)
{
    ListedUpstream_t entry;
    ListedUpstream_init(&entry);
    g_autoptr(GError) error = NULL;
    gboolean good = FleetConfig_decodeUpstream(value, &entry, &error);
    g_assert(good == (error == NULL));
    g_assert(!good || entry.spec.address.port > 0);
    ListedUpstream_clear(&entry);
}

static void
read_engine_answer(const HttpAnswer_t *answer)
{
    const OrderForm_t *forms[] = {&FleetOrders_form, &OrderHttp_form};
    for (gsize i = 0; i < G_N_ELEMENTS(forms); i++) {
        EngineState_t state = {.weights = g_string_new(NULL)};
        forms[i]->read_state(answer, &state);
        forms[i]->read_outcome(answer);
        g_string_free(state.weights, TRUE);
    }
}

int
Fuzz_platformRecords(const uint8_t *data, size_t size)
{
    GBytes *value = g_bytes_new_static(data, size);
    g_autoptr(GError) error = NULL;
    RouteConfig_t *config = FleetConfig_decode(value, &error);
    g_assert((config == NULL) == (error != NULL));
    if (config) {
        check_config(config);
        RouteConfig_unref(config);
    }
    GString *model = g_string_new(NULL);
    guint64 version = 0;
    if (FleetConfig_decodeWeights(value, model, &version, NULL)) {
        g_assert_cmpuint(version, >, 0);
    }
    g_string_free(model, TRUE);
    check_upstream(value);
    HttpAnswer_t answer = {
        .status = 200, .body = (const char *)data, .length = size};
    read_engine_answer(&answer);
    g_bytes_unref(value);
    return 0;
}

static void
check_snapshot(const ConfigStore_t *store)
{
    guint8 digest[16];
    guint8 loaded_digest[16];
    GBytes *packed = ConfigStore_pack(store);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(packed, &size);
    Wt__Snapshot *snapshot = wt__snapshot__unpack(NULL, size, bytes);
    g_assert_nonnull(snapshot);
    ConfigStore_t *loaded = ConfigStore_create(NULL, NULL);
    g_assert(ConfigStore_load(loaded, snapshot));
    ConfigStore_digest(store, digest);
    ConfigStore_digest(loaded, loaded_digest);
    g_assert(memcmp(digest, loaded_digest, sizeof(digest)) == 0);
    ConfigStore_destroy(loaded);
    wt__snapshot__free_unpacked(snapshot, NULL);
    g_bytes_unref(packed);
}

static GBytes *
pack_record(const Wt__ConfigRecord *record)
{
    gsize size = wt__config_record__get_packed_size(record);
    guint8 *bytes = g_malloc(size + 1);
    wt__config_record__pack(record, bytes);
    return g_bytes_new_take(bytes, size);
}

/* Builds a record with one change from words separated by spaces or newlines:
 * kind, name, then key=value. Mutations of such text, unlike those of packed
 * bytes, reach the checks of the fields. */
static GBytes *
build_record(const uint8_t *data, size_t size)
{
    g_autofree char *text = g_utf8_make_valid((const char *)data, size);
    g_auto(GStrv) words = g_strsplit_set(text, " \n", 64);
    guint count = g_strv_length(words);
    g_autofree Wt__Field *fields = g_new0(Wt__Field, 64);
    g_autofree Wt__Field **list = g_new0(Wt__Field *, 64);
    Wt__Change change = WT__CHANGE__INIT;
    Wt__Change *changes[] = {&change};
    Wt__ConfigRecord record = WT__CONFIG_RECORD__INIT;
    change.kind = count > 0 ? words[0] : (char *)"";
    change.name = count > 1 ? words[1] : (char *)"";
    change.fields = list;
    for (guint i = 2; i < count; i++) {
        char *separator = strchr(words[i], '=');
        if (separator) {
            *separator = '\0';
            Wt__Field *field = &fields[change.n_fields];
            wt__field__init(field);
            field->key = words[i];
            field->value = separator + 1;
            list[change.n_fields++] = field;
        }
    }
    record.n_changes = 1;
    record.changes = changes;
    return pack_record(&record);
}

/* The fold accepts any bytes as a record, and a store that is loaded from a
 * snapshot has the same digest as the store that wrote the snapshot. */
int
Fuzz_configRecords(const uint8_t *data, size_t size)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    GBytes *raw = g_bytes_new_static(data, size);
    GBytes *made = build_record(data, size);
    ConfigStore_fold(store, 0, raw);
    ConfigStore_fold(store, 1, made);
    ConfigStore_fold(store, 2, raw);
    g_assert_cmpuint(ConfigStore_foldOffset(store), ==, 3);
    check_snapshot(store);
    g_bytes_unref(raw);
    g_bytes_unref(made);
    ConfigStore_destroy(store);
    return 0;
}
