#include "testing.h"

#include <string.h>

#include "ConfigStore.h"

static guint changes;

static void
on_changed(void *data)
{
    (void)data;
    changes++;
}

static GBytes *
pack_record(const char *id, const char *name, guint64 base,
            const char *weights)
{
    Wt__Field field = WT__FIELD__INIT;
    Wt__Field *fields[] = {&field};
    Wt__Change change = WT__CHANGE__INIT;
    Wt__Change *list[] = {&change};
    Wt__ConfigRecord message = WT__CONFIG_RECORD__INIT;
    field.key = (char *)"weights";
    field.value = (char *)weights;
    change.kind = (char *)"model";
    change.name = (char *)name;
    change.base_revision = base;
    change.remove = weights == NULL;
    change.n_fields = weights ? 1 : 0;
    change.fields = fields;
    message.command_id.data = (guint8 *)id;
    message.command_id.len = strlen(id);
    message.n_changes = 1;
    message.changes = list;
    gsize size = wt__config_record__get_packed_size(&message);
    guint8 *bytes = g_malloc(size);
    wt__config_record__pack(&message, bytes);
    return g_bytes_new_take(bytes, size);
}

static gboolean
fold(ConfigStore_t *store, guint64 offset, const char *id, const char *name,
     guint64 base, const char *weights)
{
    GBytes *bytes = pack_record(id, name, base, weights);
    ConfigStore_fold(store, offset, bytes);
    g_bytes_unref(bytes);
    GBytes *key = g_bytes_new(id, strlen(id));
    const ConfigOutcome_t *outcome = ConfigStore_findOutcome(store, key);
    g_bytes_unref(key);
    return outcome && outcome->taken;
}

static const char *
weights_of(const ConfigStore_t *store, const char *name)
{
    const Object_t *object = ConfigStore_find(store, OBJECT_MODEL, name);
    return object ? ((const Model_t *)object->spec)->weights->str : NULL;
}

START_TEST(first_of_two_changes_with_same_base_wins)
{
    ConfigStore_t *store = ConfigStore_create(on_changed, NULL);
    changes = 0;
    ck_assert(fold(store, 0, "first", "m", 0, "v1"));
    ck_assert(!fold(store, 1, "second", "m", 0, "v2"));
    ck_assert(fold(store, 2, "third", "m", 1, "v3"));
    ck_assert_str_eq(weights_of(store, "m"), "v3");
    ck_assert_uint_eq(ConfigStore_foldOffset(store), 3);
    ck_assert_uint_eq(changes, 2);
    ConfigStore_destroy(store);
}
END_TEST

START_TEST(record_appended_twice_is_applied_once)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    ck_assert(fold(store, 0, "once", "m", 0, "v1"));
    ck_assert(fold(store, 1, "remove", "m", 1, NULL));
    ck_assert(fold(store, 2, "once", "m", 0, "v1"));
    ck_assert_ptr_null(weights_of(store, "m"));
    ConfigStore_destroy(store);
}
END_TEST

START_TEST(record_with_older_offset_is_ignored)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    fold(store, 5, "a", "m", 0, "v1");
    fold(store, 6, "b", "m", 6, "v2");
    fold(store, 5, "c", "m", 0, "v0");
    ck_assert_str_eq(weights_of(store, "m"), "v2");
    ck_assert_uint_eq(ConfigStore_foldOffset(store), 7);
    ConfigStore_destroy(store);
}
END_TEST

START_TEST(unreadable_or_invalid_records_change_nothing)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    GBytes *garbage = g_bytes_new_static("\xff\xff\xff", 3);
    ConfigStore_fold(store, 0, garbage);
    g_bytes_unref(garbage);
    ck_assert(!fold(store, 1, "bad", "m", 0, "not a name"));
    ck_assert(!fold(store, 2, "worse", "n@me", 0, "v1"));
    ck_assert_uint_eq(ConfigStore_foldOffset(store), 3);
    ck_assert_ptr_null(weights_of(store, "m"));
    ConfigStore_destroy(store);
}
END_TEST

START_TEST(equal_folds_have_equal_digests)
{
    ConfigStore_t *one = ConfigStore_create(NULL, NULL);
    ConfigStore_t *two = ConfigStore_create(NULL, NULL);
    guint8 a[16];
    guint8 b[16];
    for (int i = 0; i < 2; i++) {
        ConfigStore_t *store = i == 0 ? one : two;
        fold(store, 0, "a", "m", 0, "v1");
        fold(store, 1, "b", "n", 0, "v1");
    }
    ConfigStore_digest(one, a);
    ConfigStore_digest(two, b);
    ck_assert_mem_eq(a, b, sizeof(a));
    fold(two, 2, "c", "n", 2, "v2");
    ConfigStore_digest(two, b);
    ck_assert_mem_ne(a, b, sizeof(a));
    ConfigStore_destroy(one);
    ConfigStore_destroy(two);
}
END_TEST

START_TEST(stored_outcomes_are_bounded)
{
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    for (guint i = 0; i < CONFIG_OUTCOMES_MAX + 10; i++) {
        g_autofree char *id = g_strdup_printf("id-%u", i);
        fold(store, i, id, "m", i, "v1");
    }
    GBytes *oldest = g_bytes_new_static("id-0", 4);
    ck_assert_ptr_null(ConfigStore_findOutcome(store, oldest));
    g_bytes_unref(oldest);
    ConfigStore_destroy(store);
}
END_TEST

TESTING_MAIN("ConfigStore", first_of_two_changes_with_same_base_wins,
             record_appended_twice_is_applied_once,
             record_with_older_offset_is_ignored,
             unreadable_or_invalid_records_change_nothing,
             equal_folds_have_equal_digests, stored_outcomes_are_bounded)
