#include "testing.h"

#include <event2/event.h>
#include <string.h>
#include <unistd.h>

#include "Diagnostics.h"
#include "Log.h"

#define OUTPUT_SIZE 4096

static char output[OUTPUT_SIZE];
static int pipe_ends[2];
static int saved_output;

static void
begin(void)
{
    ck_assert_int_eq(pipe(pipe_ends), 0);
    fflush(stdout);
    saved_output = dup(STDOUT_FILENO);
    dup2(pipe_ends[1], STDOUT_FILENO);
    Log_open("test", LOG_LEVEL_INFO);
    Diagnostics_start("test");
}

/* Reads what was logged since begin(). */
static void
end(void)
{
    dup2(saved_output, STDOUT_FILENO);
    close(saved_output);
    close(pipe_ends[1]);
    ssize_t length = read(pipe_ends[0], output, sizeof(output) - 1);
    output[MAX(length, 0)] = '\0';
    close(pipe_ends[0]);
}

static void
reenter(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    event_base_loop(data, EVLOOP_NONBLOCK);
}

/* Standard error blocked a router while nobody read it. */
START_TEST(messages_of_libraries_are_log_lines)
{
    begin();
    g_log("parts", G_LOG_LEVEL_CRITICAL, "out of order");
    struct event_base *base = event_base_new();
    event_base_once(base, -1, EV_TIMEOUT, reenter, base, NULL);
    event_base_loop(base, EVLOOP_ONCE);
    event_base_free(base);
    end();
    ck_assert_ptr_nonnull(strstr(output,
                                 "event=library_message "
                                 "library=parts text=\"out of order\""));
    ck_assert_ptr_nonnull(strstr(output, "library=libevent"));
}
END_TEST

TESTING_MAIN("Diagnostics", messages_of_libraries_are_log_lines)
