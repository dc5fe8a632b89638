#ifndef HEADER_UpstreamRest
#define HEADER_UpstreamRest
/**
 * DOC: UpstreamRest
 *
 * For how long an upstream wants no request of this router, by its own word.
 * Answers cross, so that of several the latest end holds. Routers that were
 * asked at one moment do not come back at one moment: each ends its rest a
 * little later than it was asked to, and sends few requests at first.
 */
#include <glib.h>

/** Longest rest, in ms: a longer one is taken for this long */
#define UPSTREAM_REST_MOST_MS (G_GINT64_CONSTANT(365) * 86400 * 1000)

/**
 * struct UpstreamRest_t - zeroed while none was asked for
 * @asked_ms: when it was last asked for, monotonic
 * @until_ms: no request goes there before, monotonic; 0 for no rest
 * @sent_ms: when the last request went there since its end, monotonic
 */
typedef struct {
    gint64 asked_ms;
    gint64 until_ms;
    gint64 sent_ms;
} UpstreamRest_t;

/**
 * UpstreamRest_note() - it is asked for
 * @for_ms: from now on, at most UPSTREAM_REST_MOST_MS
 *
 * Return: whether it ends later than what was known
 */
gboolean UpstreamRest_note(UpstreamRest_t *this, gint64 for_ms, gint64 now_ms);

/** UpstreamRest_leftMs() - until its end; 0 where there is none */
gint64 UpstreamRest_leftMs(const UpstreamRest_t *this, gint64 now_ms);

/** UpstreamRest_isPaced() - whether no request should go there just now, as
 * one went there a moment ago and the rest has ended only lately */
gboolean UpstreamRest_isPaced(const UpstreamRest_t *this, gint64 now_ms);

/** UpstreamRest_noteSent() - a request goes there now */
void UpstreamRest_noteSent(UpstreamRest_t *this, gint64 now_ms);

#endif
