/* Fuzz targets for event streams, which the network may split at any byte. */
#include <event2/buffer.h>
#include <string.h>

#include "EngineHttp.h"
#include "EventPipe.h"
#include "SseParser.h"
#include "targets.h"

/* Longest piece in bytes. Short pieces split a stream at many positions. */
#define PIECE_MAX 7
/* Limits on the length of an event in bytes: EVENT_MAX exceeds any input,
 * SMALL_EVENT_MAX is shorter than most inputs. */
#define EVENT_MAX (1 << 20)
#define SMALL_EVENT_MAX 24

typedef gboolean (*Feed_t)(void *owner, struct evbuffer *in);

/* Feeds the data in one piece if @cut is 0, otherwise in pieces whose lengths
 * follow from a pseudorandom sequence that starts with @cut. */
static void
feed_cut(const uint8_t *data, size_t size, guint cut, Feed_t feed, void *owner)
{
    struct evbuffer *in = evbuffer_new();
    size_t done = 0;
    guint draw = cut;
    gboolean proceed = TRUE;
    while (done < size && proceed) {
        size_t piece = cut == 0 ? size : 1 + draw % PIECE_MAX;
        piece = MIN(piece, size - done);
        evbuffer_add(in, data + done, piece);
        proceed = feed(owner, in);
        done += piece;
        draw = draw * 5 + cut;
    }
    evbuffer_free(in);
}

typedef struct {
    EventPipe_t *pipe;
    struct evbuffer *out;
    guint count;
} PipeOutput_t;

static gboolean
feed_pipe(void *owner, struct evbuffer *in)
{
    PipeOutput_t *this = owner;
    this->count += EventPipe_feed(this->pipe, in, this->out);
    g_assert(evbuffer_get_length(in) == 0);
    return TRUE;
}

static PipeOutput_t
pipe_cut(const uint8_t *data, size_t size, guint cut, gsize event_max)
{
    PipeOutput_t this = {EventPipe_create(event_max), evbuffer_new(), 0};
    feed_cut(data, size, cut, feed_pipe, &this);
    g_assert_cmpuint(this.count, ==, EventPipe_countPassed(this.pipe));
    return this;
}

static void
clear_output(PipeOutput_t *this)
{
    EventPipe_destroy(this->pipe);
    evbuffer_free(this->out);
}

/* Only complete events have been passed on, and the remainder contains no
 * complete event. */
static void
check_whole_events(struct evbuffer *out, const uint8_t *data, size_t size)
{
    size_t passed = evbuffer_get_length(out);
    struct evbuffer *remainder = evbuffer_new();
    gsize searched = 0;
    g_assert_cmpuint(passed, <=, size);
    g_assert(passed == 0 || data[passed - 1] == '\n');
    evbuffer_add(remainder, data + passed, size - passed);
    g_assert(EventPipe_firstEventLength(remainder, &searched) == 0);
    evbuffer_free(remainder);
}

/* The limit on the length of an event ends a stream at the same event however
 * the stream is split. */
static void
check_bound(const uint8_t *data, size_t size, guint cut)
{
    PipeOutput_t whole = pipe_cut(data, size, 0, SMALL_EVENT_MAX);
    PipeOutput_t pieces = pipe_cut(data, size, cut, SMALL_EVENT_MAX);
    g_assert_cmpint(EventPipe_isEventTooLarge(whole.pipe), ==,
                    EventPipe_isEventTooLarge(pieces.pipe));
    g_assert_cmpuint(whole.count, ==, pieces.count);
    clear_output(&whole);
    clear_output(&pieces);
}

/* The first byte selects how the other bytes are split. After a flush the
 * output equals the input. Finally the stream is fed again after a restart, as
 * from a second upstream that sends the same events. */
int
Fuzz_eventPipe(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    check_bound(data + 1, size - 1, data[0]);
    PipeOutput_t whole = pipe_cut(data + 1, size - 1, 0, EVENT_MAX);
    PipeOutput_t cut = pipe_cut(data + 1, size - 1, data[0], EVENT_MAX);
    g_assert_cmpuint(whole.count, ==, cut.count);
    g_assert_cmpstr(EventPipe_lastId(whole.pipe), ==,
                    EventPipe_lastId(cut.pipe));
    check_whole_events(whole.out, data + 1, size - 1);
    check_whole_events(cut.out, data + 1, size - 1);
    g_assert(EventPipe_isInsideEvent(whole.pipe) ==
             EventPipe_isInsideEvent(cut.pipe));
    EventPipe_flush(whole.pipe, whole.out);
    EventPipe_flush(cut.pipe, cut.out);
    g_assert_cmpuint(evbuffer_get_length(whole.out), ==, size - 1);
    g_assert_cmpuint(evbuffer_get_length(cut.out), ==, size - 1);
    if (size > 1) {
        g_assert(memcmp(evbuffer_pullup(cut.out, -1), data + 1, size - 1) ==
                 0);
    }
    EventPipe_restart(cut.pipe);
    feed_cut(data + 1, size - 1, 0, feed_pipe, &cut);
    clear_output(&whole);
    clear_output(&cut);
    return 0;
}

static gboolean
record_event(const char *id, const char *data, gsize length, void *user)
{
    GString *seen = user;
    g_assert_cmpuint(data[length], ==, 0);
    g_string_append_printf(seen, "%s|%" G_GSIZE_FORMAT "|", id ? id : "-",
                           length);
    g_string_append_len(seen, data, (gssize)length);
    return length != 1;
}

static gboolean
feed_parser(void *owner, struct evbuffer *in)
{
    return SseParser_feed(owner, in);
}

static GString *
parse_cut(const uint8_t *data, size_t size, guint cut)
{
    GString *seen = g_string_new(NULL);
    SseParser_t *parser = SseParser_create(EVENT_MAX, record_event, seen);
    feed_cut(data, size, cut, feed_parser, parser);
    SseParser_destroy(parser);
    return seen;
}

int
Fuzz_sseParser(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    GString *whole = parse_cut(data + 1, size - 1, 0);
    GString *cut = parse_cut(data + 1, size - 1, data[0]);
    g_assert(g_string_equal(whole, cut));
    g_string_free(whole, TRUE);
    g_string_free(cut, TRUE);
    return 0;
}

/* Returns the text of the event, or NULL if the event is invalid. */
static char *
read_text(const EngineHead_t *head, EngineEventFormat_t *format,
          const char *event)
{
    EngineToken_t token;
    json_t *parsed = NULL;
    gboolean good = EngineHttp_wire.read_event(head, format, "0", event,
                                               strlen(event), &token, &parsed);
    char *text = NULL;
    if (good) {
        text =
            token.end ? g_strdup("end") : g_strndup(token.text, token.length);
    }
    json_decref(parsed);
    return text;
}

/* Each line is an event of one stream. Reading an event by the learned format
 * must give the same text as parsing it in full. */
int
Fuzz_engineEvents(const uint8_t *data, size_t size)
{
    EngineHead_t head = {.stream = "s1"};
    EngineEventFormat_t learned = {g_string_new(NULL), g_string_new(NULL),
                                   FALSE};
    g_autofree char *text = g_strndup((const char *)data, size);
    g_auto(GStrv) events = g_strsplit(text, "\n", -1);
    for (guint i = 0; events[i]; i++) {
        EngineEventFormat_t unlearned = {g_string_new(NULL),
                                         g_string_new(NULL), FALSE};
        g_autofree char *by_format = read_text(&head, &learned, events[i]);
        g_autofree char *in_full = read_text(&head, &unlearned, events[i]);
        g_assert_cmpstr(by_format, ==, in_full);
        g_string_free(unlearned.prefix, TRUE);
        g_string_free(unlearned.suffix, TRUE);
    }
    EngineRefusal_t refusal;
    EngineHttp_wire.read_refusal(503, text, strlen(text), &refusal);
    g_string_free(learned.prefix, TRUE);
    g_string_free(learned.suffix, TRUE);
    return 0;
}
