#include "Declarations.h"

#include <stddef.h>
#include <string.h>

#include "IniFile.h"
#include "Problem.h"

#define HOUR_MS 3600000
#define DAY_MS 86400000
#define HASH_BYTES 32

static const KeySpec_t priority_keys[] = {
    {"level", KEY_INTEGER, TRUE, NULL, 0, 100, NULL,
     offsetof(Priority_t, level), "A larger level is served first."},
    {NULL},
};

static const KeySpec_t model_keys[] = {
    {"weights", KEY_NAME, TRUE, NULL, 0, 0, NULL, offsetof(Model_t, weights),
     "Version of the weights that must produce the answers."},
    {"context", KEY_INTEGER, FALSE, "131072", 1, 1 << 30, NULL,
     offsetof(Model_t, context),
     "Largest sum of prompt and answer, in tokens."},
    {NULL},
};

static const KeySpec_t adapter_keys[] = {
    {"model", KEY_NAME, TRUE, NULL, 0, 0, NULL, offsetof(Adapter_t, model),
     "Model that the adapter applies to."},
    {"weights", KEY_NAME, TRUE, NULL, 0, 0, NULL, offsetof(Adapter_t, weights),
     "Version of the adapter's weights."},
    {NULL},
};

static const KeySpec_t service_keys[] = {
    {"repeatable", KEY_CHOICE, TRUE, NULL, 0, 0, "no,yes",
     offsetof(Service_t, repeatable),
     "Whether a call may run more than once."},
    {"timeout", KEY_DURATION, FALSE, "10s", 10, HOUR_MS, NULL,
     offsetof(Service_t, timeout_ms), "How long an answer may take."},
    {NULL},
};

static const KeySpec_t customer_keys[] = {
    {"key_hash", KEY_HEX, TRUE, NULL, HASH_BYTES, HASH_BYTES, NULL,
     offsetof(Customer_t, key_hash),
     "BLAKE2b-256 of the customer's key (`wheattiller hash-key`)."},
    {"max_priority", KEY_NAME, TRUE, NULL, 0, 0, NULL,
     offsetof(Customer_t, max_priority),
     "Highest priority that the customer's requests may have."},
    {"class", KEY_NAME, FALSE, "standard", 0, 0, NULL,
     offsetof(Customer_t, customer_class),
     "Label of the customer's counters."},
    {"unit", KEY_CHOICE, FALSE, "requests", 0, 0, "requests,tokens",
     offsetof(Customer_t, unit),
     "What rate and burst count; a request counts the tokens of its prompt "
     "and "
     "the largest number of tokens that its answer may have."},
    {"rate", KEY_INTEGER, FALSE, "1000", 0, 1000000000, NULL,
     offsetof(Customer_t, rate),
     "Units per second over all routers; 0 for no limit."},
    {"burst", KEY_INTEGER, FALSE, "1000", 0, 1000000000, NULL,
     offsetof(Customer_t, burst),
     "Units that may be used at once after an idle period; raised to half a "
     "second's rate if smaller."},
    {"plain_tokens", KEY_INTEGER, FALSE, "200", 1, 1000000, NULL,
     offsetof(Customer_t, plain_tokens),
     "Tokens that one call of a plain service counts as."},
    {"concurrency", KEY_INTEGER, FALSE, "10000", 1, 1000000, NULL,
     offsetof(Customer_t, concurrency),
     "Largest number of open requests on each router."},
    {NULL},
};

static const KeySpec_t upstream_keys[] = {
    {"address", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL,
     offsetof(UpstreamSpec_t, address),
     "Address that the upstream listens on."},
    {"hall", KEY_NAME, TRUE, NULL, 0, 0, NULL, offsetof(UpstreamSpec_t, hall),
     "Hall of the upstream."},
    {"region", KEY_NAME, TRUE, NULL, 0, 0, NULL,
     offsetof(UpstreamSpec_t, region), "Region of the hall."},
    {"role", KEY_CHOICE, FALSE, "engine", 0, 0, "engine,service",
     offsetof(UpstreamSpec_t, role),
     "Whether the upstream is an engine or an instance of a plain service."},
    {"serves", KEY_NAMES, TRUE, NULL, 0, 0, NULL,
     offsetof(UpstreamSpec_t, serves),
     "Models of an engine, or plain services of a service instance."},
    {"slots", KEY_INTEGER, FALSE, "256", 1, 1000000, NULL,
     offsetof(UpstreamSpec_t, slots),
     "Largest number of open requests from one router to the upstream."},
    {"fencing", KEY_CHOICE, FALSE, "obeyed", 0, 0, "obeyed,ignored",
     offsetof(UpstreamSpec_t, fencing),
     "Whether the upstream refuses orders that carry an old fencing number."},
    {NULL},
};

static const KeySpec_t stop_plan_keys[] = {
    {"upstream", KEY_NAME, TRUE, NULL, 0, 0, NULL,
     offsetof(StopPlan_t, upstream), "Upstream that is to stop."},
    {"by", KEY_TEXT, TRUE, NULL, 0, 0, NULL, offsetof(StopPlan_t, by),
     "Time by which the upstream must be drained, such as "
     "2026-01-31T08:00:00Z."},
    {"lead", KEY_DURATION, FALSE, "5m", 0, DAY_MS, NULL,
     offsetof(StopPlan_t, lead_ms),
     "How long before that time the upstream stops getting new work."},
    {NULL},
};

static const SectionSpec_t sections[OBJECT_KIND_COUNT] = {
    [OBJECT_PRIORITY] = {"priority", priority_keys, sizeof(Priority_t),
                         "A priority of requests."},
    [OBJECT_MODEL] = {"model", model_keys, sizeof(Model_t),
                      "A model and the version of its weights."},
    [OBJECT_ADAPTER] = {"adapter", adapter_keys, sizeof(Adapter_t),
                        "An adapter of a model."},
    [OBJECT_SERVICE] = {"service", service_keys, sizeof(Service_t),
                        "A plain service, served without an engine."},
    [OBJECT_CUSTOMER] = {"customer", customer_keys, sizeof(Customer_t),
                         "A customer, its key and its limits."},
    [OBJECT_UPSTREAM] = {"upstream", upstream_keys, sizeof(UpstreamSpec_t),
                         "An engine, or an instance of a plain service."},
    [OBJECT_STOP_PLAN] = {"stop-plan", stop_plan_keys, sizeof(StopPlan_t),
                          "A planned stop of an upstream that interrupts no "
                          "request."},
};

const char *
Declarations_kindName(ObjectKind_t kind)
{
    return sections[kind].name;
}

gboolean
Declarations_parseKind(const char *name, ObjectKind_t *kind)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (strcmp(sections[i].name, name) == 0) {
            *kind = (ObjectKind_t)i;
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
is_time(const char *text)
{
    GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
    if (time) {
        g_date_time_unref(time);
    }
    return time != NULL;
}

static void
check_stop_time(const Object_t *this, KeyPlace_t place, GPtrArray *problems)
{
    const StopPlan_t *plan = this->spec;
    if (this->kind == OBJECT_STOP_PLAN && plan->by &&
        !is_time(plan->by->str)) {
        Problems_add(problems, PROBLEM_BAD_VALUE,
                     place.ini ? IniFile_path(place.ini) : "-",
                     place.ini ? IniFile_line(place.ini, place.section, "by")
                               : 0,
                     place.section, "by", "expected a time with a time zone");
    }
}

Object_t *
Object_create(ObjectKind_t kind, const char *name, GHashTable *fields,
              KeyPlace_t place, GPtrArray *problems)
{
    guint problems_before = problems->len;
    Object_t *this = g_new0(Object_t, 1);
    this->kind = kind;
    this->name = g_string_new(name);
    this->fields = fields;
    this->spec = g_malloc0(sections[kind].size);
    if (!KeyTable_isValidName(name)) {
        Problems_add(problems, PROBLEM_BAD_NAME,
                     place.ini ? IniFile_path(place.ini) : "-",
                     place.ini ? IniFile_line(place.ini, place.section, NULL)
                               : 0,
                     place.section, NULL, KEY_NAME_EXPECTED);
    }
    KeyTable_fill(&sections[kind], fields, place, this->spec, problems);
    check_stop_time(this, place, problems);
    if (problems->len > problems_before) {
        Object_destroy(this);
        return NULL;
    }
    return this;
}

void
Object_destroy(Object_t *this)
{
    KeyTable_clear(&sections[this->kind], this->spec);
    g_free(this->spec);
    g_hash_table_unref(this->fields);
    g_string_free(this->name, TRUE);
    g_free(this);
}

static gboolean
has_object(const GPtrArray *objects, ObjectKind_t kind, const char *name)
{
    for (guint i = 0; i < objects->len; i++) {
        const Object_t *object = g_ptr_array_index(objects, i);
        if (object->kind == kind && strcmp(object->name->str, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
check_reference(const GPtrArray *objects, const Object_t *from,
                ObjectKind_t kind, const GString *name, const char *key,
                GPtrArray *problems)
{
    if (has_object(objects, kind, name->str)) {
        return;
    }
    g_autofree char *section =
        g_strdup_printf("%s %s", sections[from->kind].name, from->name->str);
    g_autofree char *detail =
        g_strdup_printf("no [%s %s]", sections[kind].name, name->str);
    Problems_add(problems, PROBLEM_BAD_REFERENCE, "-", 0, section, key,
                 detail);
}

static void
check_serves(const GPtrArray *objects, const Object_t *from,
             GPtrArray *problems)
{
    const UpstreamSpec_t *spec = from->spec;
    ObjectKind_t kind =
        spec->role == ROLE_ENGINE ? OBJECT_MODEL : OBJECT_SERVICE;
    for (guint i = 0; i < spec->serves->len; i++) {
        check_reference(objects, from, kind,
                        g_ptr_array_index(spec->serves, i), "serves",
                        problems);
    }
}

static void
check_references(const GPtrArray *objects, GPtrArray *problems)
{
    for (guint i = 0; i < objects->len; i++) {
        const Object_t *object = g_ptr_array_index(objects, i);
        switch (object->kind) {
        case OBJECT_ADAPTER:
            check_reference(objects, object, OBJECT_MODEL,
                            ((const Adapter_t *)object->spec)->model, "model",
                            problems);
            break;
        case OBJECT_CUSTOMER:
            check_reference(objects, object, OBJECT_PRIORITY,
                            ((const Customer_t *)object->spec)->max_priority,
                            "max_priority", problems);
            break;
        case OBJECT_UPSTREAM:
            check_serves(objects, object, problems);
            break;
        case OBJECT_STOP_PLAN:
            check_reference(objects, object, OBJECT_UPSTREAM,
                            ((const StopPlan_t *)object->spec)->upstream,
                            "upstream", problems);
            break;
        default:
            break;
        }
    }
}

static void
load_section(const IniFile_t *ini, const char *section, GPtrArray *objects,
             GPtrArray *problems)
{
    guint line = IniFile_line(ini, section, NULL);
    g_auto(GStrv) parts = g_strsplit(section, " ", 2);
    ObjectKind_t kind = OBJECT_PRIORITY;
    if (!parts[0] || !parts[1] || !Declarations_parseKind(parts[0], &kind)) {
        Problems_add(problems, PROBLEM_UNKNOWN_SECTION, IniFile_path(ini),
                     line, section, NULL, "expected [KIND NAME]");
        return;
    }
    if (has_object(objects, kind, parts[1])) {
        Problems_add(problems, PROBLEM_DUPLICATE_SECTION, IniFile_path(ini),
                     line, section, NULL, "also declared in another file");
        return;
    }
    KeyPlace_t place = {ini, section};
    Object_t *object = Object_create(
        kind, parts[1], IniFile_fields(ini, section), place, problems);
    if (object) {
        g_ptr_array_add(objects, object);
    }
}

static void
load_file(const char *path, GPtrArray *objects, GPtrArray *problems)
{
    IniFile_t *ini = IniFile_create(path, problems);
    if (!ini) {
        return;
    }
    g_auto(GStrv) names = IniFile_sections(ini);
    for (guint i = 0; names[i]; i++) {
        load_section(ini, names[i], objects, problems);
    }
    IniFile_destroy(ini);
}

static void
load_directory(const char *path, GPtrArray *objects, GPtrArray *problems)
{
    GDir *directory = g_dir_open(path, 0, NULL);
    if (!directory) {
        Problems_add(problems, PROBLEM_UNREADABLE, path, 0, NULL, NULL,
                     "can't read the directory");
        return;
    }
    const char *name = NULL;
    while ((name = g_dir_read_name(directory))) {
        if (g_str_has_suffix(name, ".ini")) {
            g_autofree char *file = g_build_filename(path, name, NULL);
            load_file(file, objects, problems);
        }
    }
    g_dir_close(directory);
}

static gint
compare_objects(gconstpointer a, gconstpointer b)
{
    const Object_t *left = *(Object_t *const *)a;
    const Object_t *right = *(Object_t *const *)b;
    if (left->kind != right->kind) {
        return left->kind < right->kind ? -1 : 1;
    }
    return strcmp(left->name->str, right->name->str);
}

GPtrArray *
Declarations_load(char **paths, GPtrArray *problems)
{
    GPtrArray *objects =
        g_ptr_array_new_with_free_func((GDestroyNotify)Object_destroy);
    for (guint i = 0; paths[i]; i++) {
        if (g_file_test(paths[i], G_FILE_TEST_IS_DIR)) {
            load_directory(paths[i], objects, problems);
        }
        else {
            load_file(paths[i], objects, problems);
        }
    }
    g_ptr_array_sort(objects, compare_objects);
    check_references(objects, problems);
    return objects;
}

void
Declarations_appendReference(GString *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        KeyTable_appendReference(&sections[i], out);
    }
}
