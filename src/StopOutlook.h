#ifndef HEADER_StopOutlook
#define HEADER_StopOutlook
/**
 * DOC: StopOutlook
 *
 * Whether a request can be expected to end before its router does, which has
 * been told to end. One that can't is refused before it is sent: sent, it
 * would be broken off with its outcome unknown, while another router can serve
 * it. The decision is a pure function of its input.
 */
#include <glib.h>

/**
 * struct StopOutlook_t - input of the decision
 * @stop_left_ms: time until open requests are ended
 * @deadline_left_ms: time until the caller's deadline
 * @mean_us: mean time that answers of the route take; 0 if not known
 * @spread_us: mean deviation from it
 */
typedef struct {
    gint64 stop_left_ms;
    gint64 deadline_left_ms;
    gint64 mean_us;
    gint64 spread_us;
} StopOutlook_t;

/** StopOutlook_neededMs() - time that nearly all requests of the route take;
 * 0 if not known */
gint64 StopOutlook_neededMs(const StopOutlook_t *this);

/** StopOutlook_isOutlasting() - whether the request is likely to be broken off
 * by the end of the router */
gboolean StopOutlook_isOutlasting(const StopOutlook_t *this);

#endif
