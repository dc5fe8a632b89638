#include "testing.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "EngineHttp.h"

static EngineHead_t head;
static EngineEventFormat_t format;

static void
begin(void)
{
    g_strlcpy(head.stream, "s1", sizeof(head.stream));
    format.prefix = g_string_new(NULL);
    format.suffix = g_string_new(NULL);
    format.known = FALSE;
}

static void
end(void)
{
    g_string_free(format.prefix, TRUE);
    g_string_free(format.suffix, TRUE);
}

/* Returns the event's text, "end" for the end mark, "!" if it is refused. */
static char *
read_event_text(EngineEventFormat_t *by_format, const char *id,
                const char *data)
{
    EngineToken_t token;
    json_t *json = NULL;
    gboolean is_valid = EngineHttp_wire.read_event(
        &head, by_format, id, data, strlen(data), &token, &json);
    char *text = is_valid && token.text ? g_strndup(token.text, token.length)
                                        : g_strdup(is_valid ? "end" : "!");
    json_decref(json);
    return text;
}

static void
assert_reads(const char *data, const char *expected)
{
    g_autofree char *text = read_event_text(&format, "0", data);
    ck_assert_str_eq(text, expected);
}

#define EVENT(text)                                                           \
    "{\"id\":\"s1\",\"choices\":[{\"text\":\"" text                           \
    "\",\"finish_reason\":null}]}"

START_TEST(text_is_read_and_the_event_format_learned)
{
    begin();
    assert_reads(EVENT(" one"), " one");
    ck_assert(format.known);
    assert_reads(EVENT(" two"), " two");
    assert_reads(EVENT(""), "");
    assert_reads(EVENT("a\\nb\\u00e9"), "a\nb\xc3\xa9");
    assert_reads(EVENT("\xc3\xa9"), "\xc3\xa9");
    assert_reads("[DONE]", "end");
    end();
}
END_TEST

START_TEST(events_of_other_streams_are_refused_with_and_without_a_known_format)
{
    begin();
    const char *other = "{\"id\":\"s2\",\"choices\":[{\"text\":\"x\","
                        "\"finish_reason\":null}]}";
    assert_reads(other, "!");
    assert_reads(EVENT(" one"), " one");
    assert_reads(other, "!");
    assert_reads("{\"choices\":[]}", "!");
    assert_reads("{\"id\":\"s1\",\"choices\":[]}", "!");
    assert_reads("nonsense", "!");
    assert_reads(EVENT("\xff"), "!");
    g_autofree char *without_id = read_event_text(&format, NULL, EVENT("x"));
    ck_assert_str_eq(without_id, "!");
    g_autofree char *with_bad_id = read_event_text(&format, "x", EVENT("x"));
    ck_assert_str_eq(with_bad_id, "!");
    end();
}
END_TEST

START_TEST(event_with_a_finish_reason_is_parsed_as_json)
{
    begin();
    assert_reads(EVENT("a"), "a");
    EngineToken_t token;
    json_t *json = NULL;
    const char *last = "{\"id\":\"s1\",\"choices\":[{\"text\":\"z\","
                       "\"finish_reason\":\"stop\"}]}";
    ck_assert(EngineHttp_wire.read_event(&head, &format, "3", last,
                                         strlen(last), &token, &json));
    ck_assert_str_eq(token.finish, "stop");
    ck_assert_uint_eq(token.index, 3);
    json_decref(json);
    end();
}
END_TEST

START_TEST(field_with_the_same_value_as_the_text_is_not_taken_for_the_text)
{
    begin();
    assert_reads("{\"id\":\"s1\",\"x\":\"a\",\"choices\":[{\"text\":\"a\","
                 "\"finish_reason\":null}]}",
                 "a");
    assert_reads("{\"id\":\"s1\",\"x\":\"b\",\"choices\":[{\"text\":\"a\","
                 "\"finish_reason\":null}]}",
                 "a");
    assert_reads("{\"id\":\"s1\",\"x\":\"a\",\"choices\":[{\"text\":\"c\","
                 "\"finish_reason\":null}]}",
                 "c");
    end();
}
END_TEST

/* A known format must not change how any event is read. */
START_TEST(mutated_events_read_the_same_with_and_without_a_known_format)
{
    GRand *random = g_rand_new_with_seed(11);
    begin();
    assert_reads(EVENT(" one"), " one");
    for (int round = 0; round < 20000; round++) {
        char data[] = EVENT(" word");
        for (int i = g_rand_int_range(random, 0, 3); i >= 0; i--) {
            gint at = g_rand_int_range(random, 0, (gint)sizeof(data) - 1);
            data[at] = (char)g_rand_int_range(random, 1, 256);
        }
        EngineEventFormat_t unknown = {g_string_new(NULL), g_string_new(NULL),
                                       FALSE};
        g_autofree char *with_format = read_event_text(&format, "0", data);
        g_autofree char *without_format = read_event_text(&unknown, "0", data);
        ck_assert_str_eq(with_format, without_format);
        g_string_free(unknown.prefix, TRUE);
        g_string_free(unknown.suffix, TRUE);
    }
    end();
    g_rand_free(random);
}
END_TEST

/*
 * Regression: a router crashed with a null pointer when an engine sent a
 * stream id that is not UTF-8. The router put the id into JSON (the sealed id
 * for the caller, a resume, a cancel), which failed and returned no text. A
 * head with such an id or version of weights is refused, as events can't name
 * it either.
 */
START_TEST(stream_ids_and_weights_that_are_not_utf8_are_refused)
{
    static const char *const names[] = {"s1", "\xff", "s\xc3", "\xc3\xa9"};
    static const gboolean is_valid[] = {TRUE, FALSE, FALSE, TRUE};
    for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
        for (int in_weights = 0; in_weights < 2; in_weights++) {
            EngineHead_t read = {.attempt = g_string_new(NULL)};
            struct evkeyvalq headers;
            TAILQ_INIT(&headers);
            evhttp_add_header(&headers, "X-Engine-Incarnation", "7");
            evhttp_add_header(&headers, "X-Stream-Id",
                              in_weights ? "s1" : names[i]);
            evhttp_add_header(&headers, "X-Weights-Version",
                              in_weights ? names[i] : "w1");
            ck_assert_int_eq(EngineHttp_wire.read_head(&headers, &read),
                             is_valid[i]);
            evhttp_clear_headers(&headers);
            g_string_free(read.attempt, TRUE);
        }
    }
}
END_TEST

TESTING_MAIN(
    "EngineHttp", text_is_read_and_the_event_format_learned,
    events_of_other_streams_are_refused_with_and_without_a_known_format,
    event_with_a_finish_reason_is_parsed_as_json,
    field_with_the_same_value_as_the_text_is_not_taken_for_the_text,
    mutated_events_read_the_same_with_and_without_a_known_format,
    stream_ids_and_weights_that_are_not_utf8_are_refused)
