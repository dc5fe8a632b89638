#include "Mutator.h"

#include <string.h>

/* Changes of one input, so that some stay near their seed. */
#define CHANGES_MAX 8
/* Longest run of bytes that one change moves or leaves out. */
#define RUN_MAX 32

struct Mutator {
    GPtrArray *seeds;
    guint64 state;
};

typedef struct {
    guint8 *bytes;
    gsize size;
} Input_t;

typedef void (*Change_t)(Mutator_t *this, Input_t *input);

/* Steele, Lea, Flood: Fast splittable pseudorandom number generators. */
static guint64
draw(Mutator_t *this)
{
    guint64 value = this->state += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

static gsize
below(Mutator_t *this, gsize bound)
{
    return bound > 0 ? (gsize)(draw(this) % bound) : 0;
}

/* Bytes of a run of @left at the most. */
static gsize
draw_run(Mutator_t *this, gsize longest, gsize left)
{
    gsize length = 1 + below(this, longest);
    return MIN(length, left);
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static GPtrArray *
names_of(const char *folder)
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

/* In the order of their names: that of the folder is the system's. */
static void
read_seeds(Mutator_t *this, const char *folder)
{
    GPtrArray *names = names_of(folder);
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
        g_ptr_array_index(this->seeds, below(this, this->seeds->len));
    return g_bytes_get_data(seed, size);
}

/* Makes room for a run at a place; returns how much there is. */
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
        input->bytes[below(this, input->size)] ^=
            (guint8)(1 << below(this, 8));
    }
}

static void
set_byte(Mutator_t *this, Input_t *input)
{
    static const char bytes[] = "\0\1\x7f\x80\xff\n\r\t \":=,.-;#[]{}\\09aZ";
    if (input->size > 0) {
        input->bytes[below(this, input->size)] =
            (guint8)bytes[below(this, sizeof(bytes) - 1)];
    }
}

static void
leave_out(Mutator_t *this, Input_t *input)
{
    gsize at = below(this, input->size);
    gsize length = draw_run(this, RUN_MAX, input->size - at);
    memmove(input->bytes + at, input->bytes + at + length,
            input->size - at - length);
    input->size -= length;
}

static void
repeat_run(Mutator_t *this, Input_t *input)
{
    guint8 run[RUN_MAX];
    gsize at = below(this, input->size);
    gsize length = draw_run(this, RUN_MAX, input->size - at);
    memcpy(run, input->bytes + at, length);
    gsize times = 1 + below(this, 4);
    for (gsize i = 0; i < times; i++) {
        gsize room = open_gap(input, at, length);
        memcpy(input->bytes + at, run, room);
    }
}

static void
put_word(Mutator_t *this, Input_t *input)
{
    static const char *const words[] = {
        "-1",         "4294967296", "18446744073709551616",
        "1e300",      "0x10",       "\n\n",
        "\r\n\r\n",   "\\u0000",    "\xc3\xa9",
        "\xff\xfe",   "null",       "true",
        "{\"a\":[]}", "999999999h", " event=y ",
        "%s%n",
    };
    const char *word = words[below(this, G_N_ELEMENTS(words))];
    gsize at = below(this, input->size + 1);
    gsize length = open_gap(input, at, strlen(word));
    memcpy(input->bytes + at, word, length);
}

static void
put_run_of_seed(Mutator_t *this, Input_t *input)
{
    gsize size = 0;
    const guint8 *seed = draw_seed(this, &size);
    gsize from = below(this, size);
    gsize length = draw_run(this, 4 * RUN_MAX, size - from);
    gsize at = below(this, input->size + 1);
    length = open_gap(input, at, length);
    if (length > 0) {
        memcpy(input->bytes + at, seed + from, length);
    }
}

static void
cut(Mutator_t *this, Input_t *input)
{
    input->size = below(this, input->size + 1);
}

gsize
Mutator_next(Mutator_t *this, guint8 *out)
{
    static const Change_t changes[] = {
        flip_bit, set_byte, set_byte,        leave_out, repeat_run,
        put_word, put_word, put_run_of_seed, cut,
    };
    Input_t input = {.bytes = out};
    const guint8 *seed = draw_seed(this, &input.size);
    if (input.size > 0) {
        memcpy(out, seed, input.size);
    }
    gsize count = 1 + below(this, CHANGES_MAX);
    for (gsize i = 0; i < count; i++) {
        changes[below(this, G_N_ELEMENTS(changes))](this, &input);
    }
    return input.size;
}
