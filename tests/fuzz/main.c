/**
 * DOC: fuzz
 *
 * Runs each target on its seeds and on a fixed number of mutated inputs. Each
 * target runs in its own process, so that after a crash or a hang the other
 * targets still run and the failing input can be saved. Every run uses the
 * same inputs.
 *
 * test_Fuzz [TARGET [COUNT [NUMBER]]]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Mutator.h"
#include "targets.h"

/* Mutated inputs for each target. All targets together take less than a
 * minute under the sanitizers. */
#define DEFAULT_COUNT 30000
#define DEFAULT_NUMBER 1
/* Timeout of one input in seconds. An input takes well under a millisecond;
 * the timeout leaves headroom for a busy machine. */
#define HANG_S 20

/* Memory that the process of a target shares with its parent: the current
 * input and the number of completed inputs. */
typedef struct {
    gsize size;
    guint64 done;
    guint8 bytes[MUTATOR_MAX];
} Current_t;

static Current_t *current;

static void
run_one(const FuzzTarget_t *target)
{
    /* The copy has the exact size of the input, so that AddressSanitizer
     * detects a read beyond the end. */
    g_autofree guint8 *bytes = g_malloc(MAX(current->size, 1));
    memcpy(bytes, current->bytes, current->size);
    alarm(HANG_S);
    target->run(bytes, current->size);
    alarm(0);
    current->done++;
}

static void
run_seeds(const FuzzTarget_t *target, const Mutator_t *mutator)
{
    const GPtrArray *seeds = Mutator_seeds(mutator);
    for (guint i = 0; i < seeds->len; i++) {
        const guint8 *bytes =
            g_bytes_get_data(g_ptr_array_index(seeds, i), &current->size);
        if (current->size > 0) {
            memcpy(current->bytes, bytes, current->size);
        }
        run_one(target);
    }
}

static int
run_target(const FuzzTarget_t *target, guint64 count, guint64 number)
{
    g_autofree char *folder =
        g_build_filename(FUZZ_CORPUS, target->name, NULL);
    Mutator_t *mutator = Mutator_create(folder, number);
    if (!mutator) {
        fprintf(stderr, "%s has no seeds\n", target->name);
        return EXIT_FAILURE;
    }
    FuzzTargets_begin();
    run_seeds(target, mutator);
    for (guint64 i = 0; i < count; i++) {
        current->size = Mutator_next(mutator, current->bytes);
        run_one(target);
    }
    Mutator_destroy(mutator);
    return EXIT_SUCCESS;
}

static void
save_input(const FuzzTarget_t *target)
{
    g_autofree char *path = g_strdup_printf("fuzz-%s.bin", target->name);
    g_file_set_contents(path, (const char *)current->bytes,
                        (gssize)current->size, NULL);
    fprintf(stderr, "%s failed after %" G_GUINT64_FORMAT " inputs; see %s\n",
            target->name, current->done, path);
}

static gboolean
target_passes(const FuzzTarget_t *target, guint64 count, guint64 number)
{
    int status = 0;
    memset(current, 0, sizeof(*current));
    pid_t child = fork();
    if (child == 0) {
        exit(run_target(target, count, number));
    }
    if (child < 0 || waitpid(child, &status, 0) != child) {
        perror("fuzz");
        return FALSE;
    }
    if (status != 0) {
        save_input(target);
    }
    return status == 0;
}

static guint64
parse_argument(int count, char **arguments, int at, guint64 fallback)
{
    return count > at ? g_ascii_strtoull(arguments[at], NULL, 10) : fallback;
}

int
main(int count, char **arguments)
{
    guint ran = 0;
    guint failed = 0;
    current = mmap(NULL, sizeof(*current), PROT_READ | PROT_WRITE,
                   MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    for (const FuzzTarget_t *at = fuzz_targets; at->name; at++) {
        if (count > 1 && strcmp(arguments[1], at->name) != 0) {
            continue;
        }
        ran++;
        failed += target_passes(
                      at, parse_argument(count, arguments, 2, DEFAULT_COUNT),
                      parse_argument(count, arguments, 3, DEFAULT_NUMBER))
                      ? 0
                      : 1;
    }
    printf("Checks: %u, Failures: %u, Errors: 0\n", ran, failed);
    return ran > 0 && failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
