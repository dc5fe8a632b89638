#ifndef HEADER_UpstreamBackoff
#define HEADER_UpstreamBackoff
/**
 * DOC: UpstreamBackoff
 *
 * Time for which an upstream has asked to get no requests from this router.
 * Answers can overtake each other, so the latest end of all asked times
 * applies. Routers that were asked at the same moment must not return at the
 * same moment: each router ends its backoff a little later than asked, and
 * paces its requests at first.
 */
#include <glib.h>

/** Longest backoff, in ms; longer ones are capped */
#define UPSTREAM_BACKOFF_MAX_MS (G_GINT64_CONSTANT(365) * 86400 * 1000)

/**
 * struct UpstreamBackoff_t - zeroed before the upstream asks for a backoff
 * @asked_ms: when the upstream last asked for it, monotonic
 * @until_ms: when the backoff ends, monotonic; 0 for none
 * @sent_ms: when the last request since the end was sent, monotonic
 */
typedef struct {
    gint64 asked_ms;
    gint64 until_ms;
    gint64 sent_ms;
} UpstreamBackoff_t;

/**
 * UpstreamBackoff_note() - record that the upstream asks for a backoff
 * @for_ms: length from now on, capped at UPSTREAM_BACKOFF_MAX_MS
 *
 * Return: whether the end has moved to a later time
 */
gboolean UpstreamBackoff_note(UpstreamBackoff_t *this, gint64 for_ms,
                              gint64 now_ms);

/** UpstreamBackoff_leftMs() - time until the end; 0 if there is no backoff */
gint64 UpstreamBackoff_leftMs(const UpstreamBackoff_t *this, gint64 now_ms);

/** UpstreamBackoff_isPaced() - whether a request has to wait, since the
 * backoff ended recently and another request was sent a moment ago */
gboolean UpstreamBackoff_isPaced(const UpstreamBackoff_t *this, gint64 now_ms);

/** UpstreamBackoff_noteSent() - record that a request is sent now */
void UpstreamBackoff_noteSent(UpstreamBackoff_t *this, gint64 now_ms);

#endif
