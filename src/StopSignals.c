#include "StopSignals.h"

#include <signal.h>

/* Signals that the router has no use for and that end a process by default.
 * SIGXFSZ comes as the file of the output reaches the limit on its size, and
 * the write fails. */
static const int unused_signals[] = {SIGPIPE, SIGXFSZ, SIGXCPU,   SIGUSR1,
                                     SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF,
                                     SIGIO,   SIGPWR};

/* One with a handler belongs to a library, such as a profiler's. */
static void
ignore_unused(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(unused_signals); i++) {
        struct sigaction action;
        if (sigaction(unused_signals[i], NULL, &action) == 0 &&
            action.sa_handler == SIG_DFL) {
            signal(unused_signals[i], SIG_IGN);
        }
    }
}

static void
change_mask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(how, &signals, NULL);
}

void
StopSignals_hold(void)
{
    ignore_unused();
    change_mask(SIG_BLOCK);
}

void
StopSignals_release(void)
{
    change_mask(SIG_UNBLOCK);
}

gboolean
StopSignals_arePending(void)
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) || sigismember(&pending, SIGINT);
}
