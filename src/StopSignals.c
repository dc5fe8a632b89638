#include "StopSignals.h"

#include <signal.h>

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
    signal(SIGPIPE, SIG_IGN);
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
