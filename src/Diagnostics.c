#include "Diagnostics.h"

#include <errno.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <ucontext.h>
#include <unistd.h>

#include "Clock.h"
#include "Log.h"

#define HEX_DIGITS 16
#define BITS_PER_DIGIT 4
#define LINE_SIZE 256
#define STACK_BYTES 32768
/* A message that comes again within this time is only counted. */
#define REPEAT_INTERVAL_MS 1000

/* Defined by the linker; addr2line takes offsets from it. */
extern const char __executable_start;

/* GLib ends the process by SIGTRAP if an allocation fails. */
static const int fatal_signals[] = {SIGSEGV, SIGBUS,  SIGFPE,
                                    SIGILL,  SIGABRT, SIGTRAP};
static char prefix[LINE_SIZE / 2];
/* The stack may be what ran out. */
static char signal_stack[STACK_BYTES];

/* What is tried again and again fails with the same message each time, such as
 * opening a socket without descriptors. */
static gboolean
is_repeated(const char *text, guint *repeated)
{
    static char last[LINE_SIZE];
    static gint64 logged_ms;
    static guint count;
    gint64 now_ms = Clock_nowMs();
    gboolean is_same = strncmp(text, last, sizeof(last) - 1) == 0;
    if (is_same && now_ms - logged_ms < REPEAT_INTERVAL_MS) {
        count++;
        return TRUE;
    }
    *repeated = is_same ? count : 0;
    count = 0;
    logged_ms = now_ms;
    g_strlcpy(last, text, sizeof(last));
    return FALSE;
}

static void
log_message(LogLevel_t level, const char *library, const char *text)
{
    guint repeated = 0;
    if (is_repeated(text, &repeated)) {
        return;
    }
    Log_begin(level, "library_message");
    Log_text("library", library);
    Log_text("text", text);
    if (repeated > 0) {
        Log_number("repeated", repeated);
    }
    Log_end();
}

/* libevent's callers read errno after a message. */
static void
on_libevent(int severity, const char *text)
{
    int code = errno;
    log_message(severity >= EVENT_LOG_ERR    ? LOG_LEVEL_ERROR
                : severity == EVENT_LOG_WARN ? LOG_LEVEL_WARNING
                                             : LOG_LEVEL_DEBUG,
                "libevent", text);
    errno = code;
}

/* Called after the message, for errors that libevent can't recover from. */
static void
on_libevent_fatal(int code)
{
    (void)code;
    abort();
}

static void
on_glib(const char *domain, GLogLevelFlags flags, const char *text,
        gpointer user)
{
    (void)user;
    gboolean is_error =
        (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0;
    log_message(is_error ? LOG_LEVEL_ERROR : LOG_LEVEL_WARNING,
                domain ? domain : "GLib", text);
}

/* Only async-signal-safe functions may be used from here on. */
static char *
append_text(char *at, const char *text)
{
    while (*text) {
        *at++ = *text++;
    }
    return at;
}

static char *
append_hex(char *at, guint64 number)
{
    for (int i = HEX_DIGITS - 1; i >= 0; i--) {
        *at++ = "0123456789abcdef"[(number >> (i * BITS_PER_DIGIT)) & 0xf];
    }
    return at;
}

static guint64
get_program_counter(const ucontext_t *context)
{
#if defined(__aarch64__)
    return context->uc_mcontext.pc;
#elif defined(__x86_64__)
    return (guint64)context->uc_mcontext.gregs[REG_RIP];
#else
    (void)context;
    return 0;
#endif
}

/* The signal, blocked and at its default action by now, ends the process when
 * the handler returns. */
static void
on_fatal_signal(int number, siginfo_t *info, void *context)
{
    char line[LINE_SIZE];
    char *at = append_text(line, prefix);
    *at++ = (char)('0' + number / 10);
    *at++ = (char)('0' + number % 10);
    at = append_text(at, " address=0x");
    at = append_hex(at, (guint64)(guintptr)info->si_addr);
    at = append_text(at, " offset=0x");
    at = append_hex(at, get_program_counter(context) -
                            (guint64)(guintptr)&__executable_start);
    at = append_text(at, "\n");
    ssize_t written = write(STDOUT_FILENO, line, (size_t)(at - line));
    (void)written;
    raise(number);
}

static void
watch_signal(int number)
{
    struct sigaction action;
    if (sigaction(number, NULL, &action) != 0 ||
        action.sa_handler != SIG_DFL) {
        return;
    }
    memset(&action, 0, sizeof(action));
    action.sa_sigaction = on_fatal_signal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | (int)SA_RESETHAND;
    sigaction(number, &action, NULL);
}

void
Diagnostics_start(const char *name)
{
    stack_t stack = {.ss_sp = signal_stack, .ss_size = sizeof(signal_stack)};
    stack_t old;
    event_set_log_callback(on_libevent);
    event_set_fatal_callback(on_libevent_fatal);
    g_log_set_default_handler(on_glib, NULL);
    g_snprintf(prefix, sizeof(prefix),
               "<%d>%.64s[%d]: event=router_crashed "
               "signal=",
               (int)LOG_LEVEL_ERROR, name, (int)getpid());
    if (sigaltstack(NULL, &old) == 0 && (old.ss_flags & SS_DISABLE)) {
        sigaltstack(&stack, NULL);
    }
    for (gsize i = 0; i < G_N_ELEMENTS(fatal_signals); i++) {
        watch_signal(fatal_signals[i]);
    }
}
