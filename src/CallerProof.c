#include "CallerProof.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <linux/sockios.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "Clock.h"
#include "ResetOnClose.h"

#define INTERIM_ANSWER "HTTP/1.1 100 Continue\r\n\r\n"
#define LEADING_ZERO "0"
/* Of a chunk's size; readers take at least 16 digits. */
#define ZEROS_MAX 8
/* Of one request; some readers take five, of which one may answer an Expect
 * header. */
#define INTERIM_MAX 4
/* Between two proofs, so that a later end is seen well within 500 ms; doubled
 * between interim answers, which are few. */
#define PROOF_INTERVAL_MS 200
/* Between looks at what became of a proof, doubled each time: a stream that
 * its caller takes up elsewhere must not be recovered here meanwhile. */
#define LOOK_MIN_MS 1
#define LOOK_MAX_MS 50

struct CallerProof {
    struct evhttp_request *request; /* may have lost its connection */
    struct evhttp_connection *connection;
    CallerGone_t gone;
    void *owner;
    struct event *timer;
    struct evbuffer_cb_entry *output_entry;
    gint64 sent_ms; /* when the last proof was sent */
    gint64 look_ms; /* until the next look */
    guint zeros;    /* in front of the next chunk */
    guint interims; /* so far */
};

static struct bufferevent *
stream_of(const CallerProof_t *this)
{
    return evhttp_connection_get_bufferevent(this->connection);
}

static struct evbuffer *
output_of(const CallerProof_t *this)
{
    return bufferevent_get_output(stream_of(this));
}

gboolean
CallerProof_isReset(evutil_socket_t fd)
{
    struct pollfd state = {.fd = fd};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLHUP | POLLERR)) != 0;
}

/* Bytes that were not acknowledged yet are a proof themselves, and may end
 * within a chunk. */
static gboolean
has_bytes_under_way(const CallerProof_t *this)
{
    int in_kernel = 0;
    ioctl(bufferevent_getfd(stream_of(this)), SIOCOUTQ, &in_kernel);
    return in_kernel > 0 || evbuffer_get_length(output_of(this)) > 0;
}

static gboolean
takes_interim_answers(const struct evhttp_request *request)
{
    return request->kind == EVHTTP_REQUEST &&
           (request->major > 1 || (request->major == 1 && request->minor > 0));
}

/* Returns NULL where no byte may be sent: to a caller of HTTP/1.0, within a
 * body that ends with its connection, and beyond what readers take. */
static const char *
choose_proof(const CallerProof_t *this)
{
    if (takes_interim_answers(this->request)) {
        return this->interims < INTERIM_MAX ? INTERIM_ANSWER : NULL;
    }
    return this->request->kind == EVHTTP_RESPONSE && this->request->chunked &&
                   this->zeros < ZEROS_MAX
               ? LEADING_ZERO
               : NULL;
}

/* A reader may take a zero that ends with the connection for the last chunk.
 */
static void
note_zero(CallerProof_t *this)
{
    this->zeros++;
    ResetOnClose_add(this->connection);
}

/* Not through evhttp, which would take it for the end of its own output. */
static void
send_proof(CallerProof_t *this, const char *proof)
{
    gsize length = strlen(proof);
    ssize_t sent = 0;
    if (proof[0] == LEADING_ZERO[0]) {
        note_zero(this);
    }
    else {
        this->interims++;
    }
    sent = send(bufferevent_getfd(stream_of(this)), proof, length,
                MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0 && (gsize)sent < length) {
        evbuffer_add(output_of(this), proof + sent, length - (gsize)sent);
    }
}

static gint64
interval_ms(const CallerProof_t *this, const char *proof)
{
    gboolean is_interim = proof[0] != LEADING_ZERO[0];
    return is_interim && this->interims > 0
               ? (gint64)PROOF_INTERVAL_MS << (this->interims - 1)
               : PROOF_INTERVAL_MS;
}

static gint64
next_look_ms(CallerProof_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gint64 age_ms = now_ms - this->sent_ms;
    const char *proof = choose_proof(this);
    if (has_bytes_under_way(this) || !proof) {
        this->look_ms = MIN(2 * this->look_ms, LOOK_MAX_MS);
        return this->look_ms;
    }
    if (this->sent_ms > 0 && age_ms < interval_ms(this, proof)) {
        return MIN(interval_ms(this, proof) - age_ms, PROOF_INTERVAL_MS);
    }
    send_proof(this, proof);
    this->sent_ms = now_ms;
    this->look_ms = LOOK_MIN_MS;
    return this->look_ms;
}

static void
on_look(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CallerProof_t *this = data;
    if (CallerProof_isReset(bufferevent_getfd(stream_of(this)))) {
        this->gone(this->owner);
        return;
    }
    Clock_arm(this->timer, next_look_ms(this));
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)output;
    CallerProof_t *this = data;
    if (info->n_added > 0) {
        this->zeros = 0;
    }
}

CallerProof_t *
CallerProof_create(struct event_base *base, struct evhttp_request *request,
                   CallerGone_t gone, void *owner)
{
    CallerProof_t *this = g_new0(CallerProof_t, 1);
    this->request = request;
    this->connection = evhttp_request_get_connection(request);
    this->gone = gone;
    this->owner = owner;
    this->timer = Clock_timer(base, on_look, this);
    this->output_entry = evbuffer_add_cb(output_of(this), on_output, this);
    this->look_ms = LOOK_MIN_MS;
    Clock_arm(this->timer, next_look_ms(this));
    return this;
}

void
CallerProof_destroy(CallerProof_t *this)
{
    event_free(this->timer);
    evbuffer_remove_cb_entry(output_of(this), this->output_entry);
    g_free(this);
}
