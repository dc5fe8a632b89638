/* What a caller gets of streams of the native interface, and what of them
 * waits for it. */
#include "testing.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#include "Answer.h"
#include "ReplyClient.h"

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"
#define BUFFER_MAX ((gsize)64 << 10)
/* Far more than the sockets hold. */
#define TOKENS_MAX 100000
#define BLOCK_BYTES 1024
#define SOCKET_BYTES 16384

static Answer_t *answer;
static DeferredCalls_t *deferred_calls;
static guint drained;

static void
on_left(void *owner, Refusal_t reason)
{
    (void)owner;
    (void)reason;
    ck_abort();
}

static void
on_drained(void *owner)
{
    (void)owner;
    drained++;
}

static void
create_answer(struct evhttp_request *request)
{
    static const AnswerEvents_t events = {.left = on_left,
                                          .drained = on_drained};
    deferred_calls = DeferredCalls_create(ReplyClient_base());
    AnswerSpec_t spec = {.request = request,
                         .stream = TRUE,
                         .id = "r",
                         .model = "m",
                         .buffer_max = BUFFER_MAX,
                         .deferred_calls = deferred_calls};
    answer = Answer_create(ReplyClient_base(), &spec, &events, NULL);
}

static struct bufferevent *
server_stream(void)
{
    return evhttp_connection_get_bufferevent(ReplyClient_serverSide());
}

static void
set_up(void)
{
    int size = SOCKET_BYTES;
    answer = NULL;
    drained = 0;
    ReplyClient_connect(REQUEST, create_answer);
    while (!answer) {
        event_base_loop(ReplyClient_base(), EVLOOP_ONCE);
    }
    setsockopt(bufferevent_getfd(server_stream()), SOL_SOCKET, SO_SNDBUF,
               &size, sizeof(size));
}

/* Returns the number of tokens, each in an iteration of its own. */
static guint
write_until_full(void)
{
    guint tokens = 0;
    while (!Answer_isFull(answer)) {
        ck_assert_uint_lt(tokens, TOKENS_MAX);
        tokens++;
        Answer_writeToken(answer, "t", 1, NULL, tokens);
        event_base_loop(ReplyClient_base(), EVLOOP_NONBLOCK);
    }
    return tokens;
}

static void
ck_assert_packed(void)
{
    struct evbuffer *output = bufferevent_get_output(server_stream());
    int blocks = evbuffer_peek(output, -1, NULL, NULL, 0);
    ck_assert_uint_lt((gsize)blocks * BLOCK_BYTES,
                      evbuffer_get_length(output));
}

static guint
count_tokens(void)
{
    g_auto(GStrv) parts = g_strsplit(ReplyClient_received()->str, "id: ", -1);
    return g_strv_length(parts) - 1;
}

static gboolean
has_end(void)
{
    const GString *received = ReplyClient_received();
    gsize length = strlen(LAST_CHUNK);
    return received->len >= length &&
           strcmp(received->str + received->len - length, LAST_CHUNK) == 0;
}

static void
read_whole(void)
{
    while (!has_end()) {
        ck_assert_int_eq(
            ReplyClient_readUntil(ReplyClient_received()->len + 1), 1);
    }
}

static void
tear_down(void)
{
    Answer_destroy(answer);
    DeferredCalls_destroy(deferred_calls);
    ReplyClient_close();
}

/* Each iteration's events were held in a block of their own. */
START_TEST(events_that_wait_share_their_blocks)
{
    set_up();
    guint tokens = write_until_full();
    ck_assert_packed();
    Answer_finish(answer, 1, tokens, 0);
    read_whole();
    ck_assert_uint_eq(count_tokens(), tokens);
    tear_down();
}
END_TEST

START_TEST(a_full_stream_goes_on_once_it_was_read)
{
    set_up();
    guint tokens = write_until_full();
    Answer_writeToken(answer, "t", 1, NULL, tokens + 1);
    while (drained == 0) {
        ck_assert_int_eq(
            ReplyClient_readUntil(ReplyClient_received()->len + 1), 1);
    }
    ck_assert(!Answer_isFull(answer));
    tokens += 1 + write_until_full();
    Answer_finish(answer, 1, tokens, 0);
    read_whole();
    ck_assert_uint_eq(count_tokens(), tokens);
    tear_down();
}
END_TEST

TESTING_MAIN("Answer", events_that_wait_share_their_blocks,
             a_full_stream_goes_on_once_it_was_read)
