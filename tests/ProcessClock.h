#ifndef HEADER_ProcessClock
#define HEADER_ProcessClock
/**
 * DOC: ProcessClock
 *
 * Clock of a test whose routers all live in its process. It advances while the
 * process runs and while it waits as long as it asked to, in the event loop or
 * asleep. What the machine makes it wait longer is time in which no router of
 * the test can do anything, and does not count.
 */

/** ProcessClock_start() - from now on the monotonic clocks of this process,
 * those of its libraries included, advance in that way */
void ProcessClock_start(void);

#endif
