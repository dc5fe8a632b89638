#include "Mutator.h"

#include <string.h>

/* Most mutations of one input. The bound is low so that some inputs stay
 * close to their seed. */
#define MUTATIONS_MAX 8
/* Longest run of bytes that one mutation deletes or repeats. */
#define RUN_MAX 32

struct Mutator {
    GPtrArray *seeds;
    guint64 state;
};

typedef struct {
    guint8 *bytes;
    gsize size;
} Input_t;

typedef void (*Mutate_t)(Mutator_t *this, Input_t *input);

/* SplitMix64, from Steele, Lea, Flood: Fast splittable pseudorandom number
 * generators. */
static guint64
next_random(Mutator_t *this)
{
    guint64 value = this->state += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

static gsize
random_below(Mutator_t *this, gsize bound)
{
    return bound > 0 ? (gsize)(next_random(this) % bound) : 0;
}

/* Draws a length from 1 to @longest, but at most @left. */
static gsize
draw_run(Mutator_t *this, gsize longest, gsize left)
{
    gsize length = 1 + random_below(this, longest);
    return MIN(length, left);
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static GPtrArray *
list_files(const char *folder)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GDir *directory = g_dir_open(folder, 0, NULL);
    const char *name = NULL;
    while (directory && (name = g_dir_read_name(directory))) {
        g_ptr_array_add(names, g_build_filename(folder, name, NULL));
    }
    if (directory) {
        g_dir_close(directory);
    }
    return names;
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorts the files by name, because the order of g_dir_read_name() differs
 * between systems. */
static void
read_seeds(Mutator_t *this, const char *folder)
{
    GPtrArray *names = list_files(folder);
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        char *text = NULL;
        gsize size = 0;
        if (g_file_get_contents(g_ptr_array_index(names, i), &text, &size,
                                NULL)) {
            g_ptr_array_add(this->seeds,
                            g_bytes_new_take(text, MIN(size, MUTATOR_MAX)));
        }
    }
    g_ptr_array_unref(names);
}

Mutator_t *
Mutator_create(const char *folder, guint64 number)
{
    Mutator_t *this = g_new0(Mutator_t, 1);
    this->state = number;
    this->seeds = g_ptr_array_new_with_free_func(free_bytes);
    read_seeds(this, folder);
    if (this->seeds->len == 0) {
        Mutator_destroy(this);
        return NULL;
    }
    return this;
}

void
Mutator_destroy(Mutator_t *this)
{
    g_ptr_array_unref(this->seeds);
    g_free(this);
}

const GPtrArray *
Mutator_seeds(const Mutator_t *this)
{
    return this->seeds;
}

static const guint8 *
draw_seed(Mutator_t *this, gsize *size)
{
    GBytes *seed =
        g_ptr_array_index(this->seeds, random_below(this, this->seeds->len));
    return g_bytes_get_data(seed, size);
}

/* Inserts a gap of up to @length bytes at offset @at. Returns the length of
 * the gap, which is shorter if the input would exceed MUTATOR_MAX. */
static gsize
open_gap(Input_t *input, gsize at, gsize length)
{
    length = MIN(length, MUTATOR_MAX - input->size);
    memmove(input->bytes + at + length, input->bytes + at, input->size - at);
    input->size += length;
    return length;
}

static void
flip_bit(Mutator_t *this, Input_t *input)
{
    if (input->size > 0) {
        input->bytes[random_below(this, input->size)] ^=
            (guint8)(1 << random_below(this, 8));
    }
}

static void
set_byte(Mutator_t *this, Input_t *input)
{
    static const char bytes[] = "\0\1\x7f\x80\xff\n\r\t \":=,.-;#[]{}\\09aZ";
    if (input->size > 0) {
        input->bytes[random_below(this, input->size)] =
            (guint8)bytes[random_below(this, sizeof(bytes) - 1)];
    }
}

static void
delete_run(Mutator_t *this, Input_t *input)
{
    gsize at = random_below(this, input->size);
    gsize length = draw_run(this, RUN_MAX, input->size - at);
    memmove(input->bytes + at, input->bytes + at + length,
            input->size - at - length);
    input->size -= length;
}

static void
repeat_run(Mutator_t *this, Input_t *input)
{
    guint8 run[RUN_MAX];
    gsize at = random_below(this, input->size);
    gsize length = draw_run(this, RUN_MAX, input->size - at);
    memcpy(run, input->bytes + at, length);
    gsize times = 1 + random_below(this, 4);
    for (gsize i = 0; i < times; i++) {
        gsize gap = open_gap(input, at, length);
        memcpy(input->bytes + at, run, gap);
    }
}

static void
insert_token(Mutator_t *this, Input_t *input)
{
    static const char *const tokens[] = {
        "-1",         "4294967296", "18446744073709551616",
        "1e300",      "0x10",       "\n\n",
        "\r\n\r\n",   "\\u0000",    "\xc3\xa9",
        "\xff\xfe",   "null",       "true",
        "{\"a\":[]}", "999999999h", " event=y ",
        "%s%n",
    };
    const char *token = tokens[random_below(this, G_N_ELEMENTS(tokens))];
    gsize at = random_below(this, input->size + 1);
    gsize length = open_gap(input, at, strlen(token));
    memcpy(input->bytes + at, token, length);
}

static void
insert_seed_run(Mutator_t *this, Input_t *input)
{
    gsize size = 0;
    const guint8 *seed = draw_seed(this, &size);
    gsize from = random_below(this, size);
    gsize length = draw_run(this, 4 * RUN_MAX, size - from);
    gsize at = random_below(this, input->size + 1);
    length = open_gap(input, at, length);
    if (length > 0) {
        memcpy(input->bytes + at, seed + from, length);
    }
}

static void
truncate_input(Mutator_t *this, Input_t *input)
{
    input->size = random_below(this, input->size + 1);
}

gsize
Mutator_next(Mutator_t *this, guint8 *out)
{
    static const Mutate_t mutations[] = {
        flip_bit,     set_byte,        set_byte,
        delete_run,   repeat_run,      insert_token,
        insert_token, insert_seed_run, truncate_input,
    };
    Input_t input = {.bytes = out};
    const guint8 *seed = draw_seed(this, &input.size);
    if (input.size > 0) {
        memcpy(out, seed, input.size);
    }
    gsize count = 1 + random_below(this, MUTATIONS_MAX);
    for (gsize i = 0; i < count; i++) {
        mutations[random_below(this, G_N_ELEMENTS(mutations))](this, &input);
    }
    return input.size;
}
