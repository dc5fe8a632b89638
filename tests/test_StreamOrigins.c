#include "StreamOrigins.h"

#include "testing.h"

#define LIFE_MS 100

static RequestDigest_t
digest(guint8 number)
{
    return (RequestDigest_t){.bytes = {number}};
}

static StreamOrigin_t *
put(StreamOrigins_t *this, guint8 number, const char *software, gint64 now_ms)
{
    RequestDigest_t key = digest(number);
    return StreamOrigins_put(this, &key, "s", software, now_ms + LIFE_MS,
                             now_ms);
}

static StreamOrigin_t *
find(const StreamOrigins_t *this, guint8 number, gint64 now_ms)
{
    RequestDigest_t key = digest(number);
    return StreamOrigins_find(this, &key, now_ms);
}

START_TEST(an_entry_is_found_until_it_expires)
{
    StreamOrigins_t *this = StreamOrigins_create(10);
    put(this, 1, "v1", 0);
    ck_assert_str_eq(find(this, 1, LIFE_MS - 1)->software, "v1");
    ck_assert_ptr_null(find(this, 1, LIFE_MS));
    ck_assert_ptr_null(find(this, 2, 0));
    StreamOrigins_removeExpired(this, LIFE_MS);
    ck_assert_uint_eq(StreamOrigins_count(this), 0);
    StreamOrigins_destroy(this);
}
END_TEST

START_TEST(a_renewed_entry_keeps_its_version_and_lives_longer)
{
    StreamOrigins_t *this = StreamOrigins_create(10);
    put(this, 1, "v1", 0);
    put(this, 1, "v1", 50);
    ck_assert_uint_eq(StreamOrigins_count(this), 1);
    ck_assert_str_eq(find(this, 1, LIFE_MS + 49)->software, "v1");
    StreamOrigins_destroy(this);
}
END_TEST

/* The version of the first stream was taken for that of a second one with the
 * same id. */
START_TEST(an_entry_of_two_versions_has_none)
{
    StreamOrigins_t *this = StreamOrigins_create(10);
    put(this, 1, "v1", 0);
    put(this, 1, "v2", 50);
    put(this, 1, "v2", 50);
    ck_assert_uint_eq(StreamOrigins_count(this), 1);
    ck_assert_str_eq(find(this, 1, LIFE_MS + 49)->software, "");
    StreamOrigins_destroy(this);
}
END_TEST

START_TEST(a_full_table_drops_what_was_renewed_least_recently)
{
    StreamOrigins_t *this = StreamOrigins_create(2);
    put(this, 1, "v1", 0);
    put(this, 2, "v1", 1);
    put(this, 1, "v1", 2);
    put(this, 3, "v1", 3);
    ck_assert_uint_eq(StreamOrigins_count(this), 2);
    ck_assert_ptr_null(find(this, 2, 3));
    ck_assert_ptr_nonnull(find(this, 1, 3));
    StreamOrigins_destroy(this);
}
END_TEST

/* A stream longer than the window could not be continued. */
START_TEST(a_stream_that_runs_does_not_expire)
{
    StreamOrigins_t *this = StreamOrigins_create(10);
    put(this, 1, "v1", 0)->is_live = TRUE;
    put(this, 2, "v1", 0);
    StreamOrigins_removeExpired(this, LIFE_MS);
    ck_assert_uint_eq(StreamOrigins_count(this), 1);
    ck_assert_ptr_nonnull(find(this, 1, LIFE_MS + 1));
    find(this, 1, LIFE_MS)->is_live = FALSE;
    StreamOrigins_removeExpired(this, 2 * LIFE_MS);
    ck_assert_uint_eq(StreamOrigins_count(this), 0);
    StreamOrigins_destroy(this);
}
END_TEST

START_TEST(a_removed_entry_is_gone)
{
    StreamOrigins_t *this = StreamOrigins_create(10);
    RequestDigest_t key = digest(1);
    put(this, 1, "v1", 0);
    StreamOrigins_remove(this, &key);
    StreamOrigins_remove(this, &key);
    ck_assert_ptr_null(find(this, 1, 0));
    StreamOrigins_destroy(this);
}
END_TEST

TESTING_MAIN("StreamOrigins", an_entry_is_found_until_it_expires,
             an_entry_of_two_versions_has_none,
             a_renewed_entry_keeps_its_version_and_lives_longer,
             a_full_table_drops_what_was_renewed_least_recently,
             a_stream_that_runs_does_not_expire, a_removed_entry_is_gone)
