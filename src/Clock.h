#ifndef HEADER_Clock
#define HEADER_Clock
/**
 * DOC: Clock
 *
 * Monotonic time and one-shot timers on the event loop. The time goes on while
 * the machine is suspended, and all ages are reckoned by it; timers do not, so
 * that one that is due meanwhile fires as much later. Where that matters, what
 * a timer stands for is looked at by the time in steps.
 */
#include <event2/event.h>
#include <glib.h>

/** Microseconds of a millisecond */
#define CLOCK_US_PER_MS 1000
/** Milliseconds of a second */
#define CLOCK_MS_PER_S 1000

/** Clock_nowUs() - monotonic microseconds */
gint64 Clock_nowUs(void);

/** Clock_nowMs() - monotonic milliseconds */
gint64 Clock_nowMs(void);

/** Clock_wallMs() - milliseconds since 1970, UTC */
gint64 Clock_wallMs(void);

/**
 * Clock_hold() - let the monotonic time stand at @us until it is moved again
 *
 * For replays of a load in a time of their own; nothing of the router calls
 * it. Timers go by the loop's time all the same.
 */
void Clock_hold(gint64 us);

/**
 * Clock_timer() - a timer that is not yet running
 * @callback: called once for each Clock_arm()
 */
struct event *Clock_timer(struct event_base *base, event_callback_fn callback,
                          void *data);

/** Clock_arm() - let a timer fire after @ms, in place of any earlier time */
void Clock_arm(struct event *timer, gint64 ms);

#endif
