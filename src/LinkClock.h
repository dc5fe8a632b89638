#ifndef HEADER_LinkClock
#define HEADER_LinkClock
/**
 * DOC: LinkClock
 *
 * Bounds the time that a message between two routers has spent in transit,
 * without comparing their clocks directly. Each message carries the time at
 * which it was sent by the sender's clock, and the smallest difference that
 * the sender has measured between its clock at the arrival of a message of the
 * receiver and the time in that message. That difference is at least the
 * difference of the two clocks, so it converts the time of sending into an
 * earliest possible time of the receiver's clock, however long the message
 * waited on its way.
 */
#include <glib.h>

#include "peer.pb-c.h"

/** Time after which a measured difference is dropped, so that clocks that
 * drift, or stop while a machine is paused, are measured again; at 100 us a
 * second of drift the bound is wrong by 12 ms */
#define LINK_CLOCK_WINDOW_MS 60000

/**
 * struct LinkClock_t - both ends of one link
 * @start_ms: zero of this router's clock of the link, monotonic
 * @window_ms: start of the current window, monotonic
 * @ahead_ms: smallest difference of the current and of the previous window;
 *     G_MAXINT64 for none
 */
typedef struct {
    gint64 start_ms;
    gint64 window_ms;
    gint64 ahead_ms[2];
} LinkClock_t;

/** LinkClock_init() - a clock that has heard nothing; @now_ms is monotonic */
void LinkClock_init(LinkClock_t *this, gint64 now_ms);

/** LinkClock_stamp() - fill the time of a message that is sent at @now_ms */
void LinkClock_stamp(const LinkClock_t *this, gint64 now_ms,
                     Wt__LinkTime *out);

/**
 * LinkClock_receive() - note the time of a message that is handled at @now_ms
 * @time: NULL if the peer sends none
 *
 * Return: longest time in ms since the message was sent; the age of the link
 * if the peer has heard nothing yet, 0 if it sends no times
 */
gint64 LinkClock_receive(LinkClock_t *this, const Wt__LinkTime *time,
                         gint64 now_ms);

#endif
