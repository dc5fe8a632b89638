#ifndef HEADER_StopSignals
#define HEADER_StopSignals
/**
 * DOC: StopSignals
 *
 * Holds back the signals that control a router while nothing handles them: as
 * it starts and after its event loop has ended. Their default action would end
 * the process as if the router had failed. A signal that was held back takes
 * effect once it is released. Signals that the router has no use for are
 * ignored, as their default action would end the process as well.
 */
#include <glib.h>

/** StopSignals_hold() - hold back SIGTERM, SIGINT and SIGHUP, and ignore those
 * that the router has no use for */
void StopSignals_hold(void);

/** StopSignals_release() - let the handlers of these signals run */
void StopSignals_release(void);

/** StopSignals_arePending() - whether SIGTERM or SIGINT is held back */
gboolean StopSignals_arePending(void);

#endif
