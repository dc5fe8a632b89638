#ifndef HEADER_ConnectionKeeping
#define HEADER_ConnectionKeeping
/**
 * DOC: ConnectionKeeping
 *
 * Whether an upstream keeps its connections for further requests. One may
 * close each of them behind an answer without saying so. A request that is
 * sent meanwhile is lost, and nothing shows that it did not run.
 *
 * An answer to a later request of a connection proves that they are kept,
 * which holds for this start of the upstream. Until then, requests that may
 * run only once use a connection only after one has stayed open for a while,
 * one request at a time. Once one was seen to close, other requests do so,
 * too.
 */
#include <glib.h>

/** Idle time after which a connection that is open has stayed so */
#define KEEPING_IDLE_MS 200

/**
 * struct ConnectionKeeping_t - what is known of an upstream; all zero at first
 * @is_proved: it has answered a later request of a connection
 * @stayed_open: a connection of it has, and none was seen to close since
 * @is_tried: such a request is being sent, or waits for its answer
 * @was_refuted: it was seen to close a connection behind an answer
 * @closed_after_ms: the longest time after which it did so
 */
typedef struct {
    gboolean is_proved;
    gboolean stayed_open;
    gboolean is_tried;
    gboolean was_refuted;
    gint64 closed_after_ms;
} ConnectionKeeping_t;

/** ConnectionKeeping_clear() - forget everything, for another start */
void ConnectionKeeping_clear(ConnectionKeeping_t *this);

/** ConnectionKeeping_noteAnswer() - a later request of a connection was
 * answered */
void ConnectionKeeping_noteAnswer(ConnectionKeeping_t *this);

/**
 * ConnectionKeeping_noteClosed() - a connection was closed by its other end
 * @after_ms: time since its last answer; what is closed after long is closed
 *     for having been idle
 */
void ConnectionKeeping_noteClosed(ConnectionKeeping_t *this, gint64 after_ms);

/**
 * ConnectionKeeping_noteOpen() - a connection is open
 * @idle_ms: for how long it has been idle
 *
 * Return: whether nothing more is learned from its being idle
 */
gboolean ConnectionKeeping_noteOpen(ConnectionKeeping_t *this, gint64 idle_ms);

/** ConnectionKeeping_needsSample() - whether a connection should be left idle
 * to see whether it stays open */
gboolean ConnectionKeeping_needsSample(const ConnectionKeeping_t *this);

/** ConnectionKeeping_allows() - whether a request may use an open connection;
 * @is_once: it may run only once */
gboolean ConnectionKeeping_allows(const ConnectionKeeping_t *this,
                                  gboolean is_once);

/**
 * ConnectionKeeping_beginTrial() - a request uses an open connection
 *
 * Return: whether ConnectionKeeping_endTrial() must be called at its end
 */
gboolean ConnectionKeeping_beginTrial(ConnectionKeeping_t *this);

/** ConnectionKeeping_endTrial() - the request has ended */
void ConnectionKeeping_endTrial(ConnectionKeeping_t *this);

#endif
