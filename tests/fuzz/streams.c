/* Event streams, whose pieces may be cut anywhere by the network. */
#include <event2/buffer.h>
#include <string.h>

#include "EngineHttp.h"
#include "EventPipe.h"
#include "SseParser.h"
#include "targets.h"

/* Longest piece that a stream is cut into, so that many cuts are met. */
#define PIECE_MAX 7
/* Beyond any input, and within most of them. */
#define EVENT_MAX (1 << 20)
#define SMALL_EVENT_MAX 24

typedef gboolean (*Feed_t)(void *owner, struct evbuffer *in);

/* The first byte says how the rest is cut: 0 for one piece, else it and its
 * multiples give the pieces' lengths. */
static void
feed_cut(const uint8_t *data, size_t size, guint cut, Feed_t feed, void *owner)
{
    struct evbuffer *in = evbuffer_new();
    size_t done = 0;
    guint draw = cut;
    gboolean go_on = TRUE;
    while (done < size && go_on) {
        size_t piece = cut == 0 ? size : 1 + draw % PIECE_MAX;
        piece = MIN(piece, size - done);
        evbuffer_add(in, data + done, piece);
        go_on = feed(owner, in);
        done += piece;
        draw = draw * 5 + cut;
    }
    evbuffer_free(in);
}

typedef struct {
    EventPipe_t *pipe;
    struct evbuffer *out;
    guint count;
} Piped_t;

static gboolean
feed_pipe(void *owner, struct evbuffer *in)
{
    Piped_t *this = owner;
    this->count += EventPipe_feed(this->pipe, in, this->out);
    g_assert(evbuffer_get_length(in) == 0);
    return TRUE;
}

static Piped_t
pipe_cut(const uint8_t *data, size_t size, guint cut, gsize event_max)
{
    Piped_t this = {EventPipe_create(event_max), evbuffer_new(), 0};
    feed_cut(data, size, cut, feed_pipe, &this);
    g_assert_cmpuint(this.count, ==, EventPipe_countPassed(this.pipe));
    return this;
}

static void
clear_piped(Piped_t *this)
{
    EventPipe_destroy(this->pipe);
    evbuffer_free(this->out);
}

/* Only whole events have passed, and none of those that came is kept. */
static void
check_whole_events(struct evbuffer *out, const uint8_t *data, size_t size)
{
    size_t passed = evbuffer_get_length(out);
    struct evbuffer *rest = evbuffer_new();
    g_assert_cmpuint(passed, <=, size);
    g_assert(passed == 0 || data[passed - 1] == '\n');
    evbuffer_add(rest, data + passed, size - passed);
    g_assert(EventPipe_firstEventLength(rest) == 0);
    evbuffer_free(rest);
}

/* The bound ends a stream at the same event, however it is cut. */
static void
check_bound(const uint8_t *data, size_t size, guint cut)
{
    Piped_t whole = pipe_cut(data, size, 0, SMALL_EVENT_MAX);
    Piped_t pieces = pipe_cut(data, size, cut, SMALL_EVENT_MAX);
    g_assert_cmpint(EventPipe_isEventTooLarge(whole.pipe), ==,
                    EventPipe_isEventTooLarge(pieces.pipe));
    g_assert_cmpuint(whole.count, ==, pieces.count);
    clear_piped(&whole);
    clear_piped(&pieces);
}

/* Whole, the bytes are those that came; a second upstream that sends the
 * same again adds no event that has a number. */
int
Fuzz_eventPipe(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    check_bound(data + 1, size - 1, data[0]);
    Piped_t whole = pipe_cut(data + 1, size - 1, 0, EVENT_MAX);
    Piped_t cut = pipe_cut(data + 1, size - 1, data[0], EVENT_MAX);
    g_assert_cmpuint(whole.count, ==, cut.count);
    g_assert_cmpstr(EventPipe_lastId(whole.pipe), ==,
                    EventPipe_lastId(cut.pipe));
    check_whole_events(whole.out, data + 1, size - 1);
    check_whole_events(cut.out, data + 1, size - 1);
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
    clear_piped(&whole);
    clear_piped(&cut);
    return 0;
}

static gboolean
note_event(const char *id, const char *data, gsize length, void *user)
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
    SseParser_t *parser = SseParser_create(EVENT_MAX, note_event, seen);
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

/* The event's text, or NULL where it is refused. */
static char *
read_text(const EngineHead_t *head, EngineEventFormat_t *form,
          const char *event)
{
    EngineToken_t token;
    json_t *keep = NULL;
    gboolean good = EngineHttp_wire.read_event(head, form, "0", event,
                                               strlen(event), &token, &keep);
    char *text = NULL;
    if (good) {
        text =
            token.end ? g_strdup("end") : g_strndup(token.text, token.length);
    }
    json_decref(keep);
    return text;
}

/* Events of one stream, a line each: what is read by the learned form must
 * be what is read in full. */
int
Fuzz_engineEvents(const uint8_t *data, size_t size)
{
    EngineHead_t head = {.stream = "s1"};
    EngineEventFormat_t learned = {g_string_new(NULL), g_string_new(NULL),
                                   FALSE};
    g_autofree char *text = g_strndup((const char *)data, size);
    g_auto(GStrv) events = g_strsplit(text, "\n", -1);
    for (guint i = 0; events[i]; i++) {
        EngineEventFormat_t none = {g_string_new(NULL), g_string_new(NULL),
                                    FALSE};
        g_autofree char *by_form = read_text(&head, &learned, events[i]);
        g_autofree char *in_full = read_text(&head, &none, events[i]);
        g_assert_cmpstr(by_form, ==, in_full);
        g_string_free(none.prefix, TRUE);
        g_string_free(none.suffix, TRUE);
    }
    EngineRefusal_t refusal;
    EngineHttp_wire.read_refusal(503, text, strlen(text), &refusal);
    g_string_free(learned.prefix, TRUE);
    g_string_free(learned.suffix, TRUE);
    return 0;
}
