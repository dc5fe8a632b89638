#ifndef HEADER_Clock
#define HEADER_Clock
/**
 * DOC: Clock
 *
 * Monotonic time and one-shot timers on the event loop. The time includes
 * suspensions of the machine, and all ages are measured by it. Timers do not
 * run during a suspension, which delays them by its length. Code for which
 * that matters uses a short timer repeatedly and compares the time with its
 * deadline.
 */
#include <event2/event.h>
#include <glib.h>

/** Microseconds per millisecond */
#define CLOCK_US_PER_MS 1000
/** Milliseconds per second */
#define CLOCK_MS_PER_S 1000

/** Clock_nowUs() - monotonic microseconds */
gint64 Clock_nowUs(void);

/** Clock_nowMs() - monotonic milliseconds */
gint64 Clock_nowMs(void);

/** Clock_wallMs() - milliseconds since 1970, UTC */
gint64 Clock_wallMs(void);

/**
 * Clock_freeze() - stop the monotonic time at @us until the next call
 * @us: 0 to return to the system's clock
 *
 * For tests and replays of a load in simulated time; the router does not call
 * it. Timers still use the event loop's time.
 */
void Clock_freeze(gint64 us);

/**
 * Clock_timer() - create a timer that does not run yet
 * @callback: called once for each Clock_arm()
 */
struct event *Clock_timer(struct event_base *base, event_callback_fn callback,
                          void *data);

/** Clock_arm() - let a timer fire after @ms; replaces the time set before */
void Clock_arm(struct event *timer, gint64 ms);

#endif
