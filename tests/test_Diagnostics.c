#include "testing.h"

#include <event2/event.h>
#include <string.h>
#include <unistd.h>

#include "Clock.h"
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

static guint
count_lines(const char *text)
{
    guint lines = 0;
    for (const char *at = strstr(output, text); at;
         at = strstr(at + 1, text)) {
        lines++;
    }
    return lines;
}

/* A start that waited for a descriptor wrote 50 lines a second. */
START_TEST(a_message_that_repeats_is_counted)
{
    begin();
    for (gint64 ms = 0; ms <= 2000; ms += 20) {
        Clock_freeze((1000 + ms) * CLOCK_US_PER_MS);
        g_log("parts", G_LOG_LEVEL_WARNING, "none left");
    }
    g_log("parts", G_LOG_LEVEL_WARNING, "some left");
    g_log("parts", G_LOG_LEVEL_WARNING, "none left");
    Clock_freeze(0);
    end();
    ck_assert_uint_eq(count_lines("text=\"none left\""), 4);
    ck_assert_uint_eq(count_lines("text=\"none left\" repeated=49"), 2);
    ck_assert_uint_eq(count_lines("text=\"some left\""), 1);
}
END_TEST

TESTING_MAIN("Diagnostics", messages_of_libraries_are_log_lines,
             a_message_that_repeats_is_counted)
