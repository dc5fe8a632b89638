#include "Workload.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "Json.h"

/* Engine stand-ins count a token for so many bytes. */
#define TOKEN_BYTES 4
#define WORD_BYTES 8

struct Workload {
    const Profile_t *profile;
    GString *model;
    GRand *random;
    double *customer_shares; /* cumulative */
    double *history_shares;  /* cumulative */
    guint shift;
    guint64 asked;
};

static const Profile_t profiles[] = {
    {"small", 1, 50, 20, 40, 10, 50, 0.0, 0.0, 0, 0},
    {"kochi", 8, 300, 1500, 4000, 60, 100, 0.8, 0.9, 10000, 30},
    {"rosario", 8, 60, 800, 2500, 40, 60, 0.8, 1.2, 5000, 30},
};

const Profile_t *
Workload_profile(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(profiles); i++) {
        if (strcmp(profiles[i].name, name) == 0) {
            return &profiles[i];
        }
    }
    return NULL;
}

static double *
zipf_shares(guint count, double skew)
{
    double *shares = g_new(double, count);
    double sum = 0.0;
    for (guint i = 0; i < count; i++) {
        sum += 1.0 / pow(i + 1, skew);
        shares[i] = sum;
    }
    for (guint i = 0; i < count; i++) {
        shares[i] /= sum;
    }
    return shares;
}

static guint
draw(GRand *random, const double *shares, guint count)
{
    double value = g_rand_double(random);
    guint low = 0;
    guint high = count - 1;
    while (low < high) {
        guint middle = (low + high) / 2;
        if (shares[middle] < value) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

Workload_t *
Workload_create(const Profile_t *profile, const char *model, guint32 seed)
{
    Workload_t *this = g_new0(Workload_t, 1);
    this->profile = profile;
    this->model = g_string_new(model);
    this->random = g_rand_new_with_seed(seed);
    this->customer_shares =
        zipf_shares(profile->customers, profile->customer_skew);
    this->history_shares =
        zipf_shares(profile->histories, profile->history_skew);
    return this;
}

void
Workload_destroy(Workload_t *this)
{
    g_string_free(this->model, TRUE);
    g_rand_free(this->random);
    g_free(this->customer_shares);
    g_free(this->history_shares);
    g_free(this);
}

/* Words of hex digits that follow from the seed alone. */
static GString *
text_of(guint64 seed, guint tokens)
{
    gsize length = (gsize)tokens * TOKEN_BYTES;
    GString *text = g_string_sized_new(length + WORD_BYTES);
    for (guint64 word = 0; text->len < length; word++) {
        guint64 hash = XXH3_64bits_withSeed(&word, sizeof(word), seed);
        g_string_append_printf(text, "%07x ", (guint)(hash & 0xfffffff));
    }
    return text;
}

static void
append_message(GString *body, GString *canonical, const char *role,
               const GString *content)
{
    g_string_append_printf(body, "{\"role\":\"%s\",\"content\":", role);
    Json_appendString(body, content->str, (gssize)content->len);
    g_string_append_c(body, '}');
    g_string_append_printf(canonical, "%s\n%s\n", role, content->str);
}

/* Between half and one and a half times the mean, by the seed. */
static guint
spread(guint mean, guint64 seed)
{
    return mean / 2 + (guint)(seed % (mean + 1));
}

static guint64
history_seed(const Workload_t *this, guint customer, guint rank)
{
    guint64 place[3] = {customer, rank, this->shift};
    return XXH3_64bits(place, sizeof(place));
}

static void
fill_body(Workload_t *this, Asked_t *asked, guint64 history)
{
    const Profile_t *profile = this->profile;
    guint64 question = XXH3_64bits(&this->asked, sizeof(this->asked));
    GString *canonical = g_string_new(NULL);
    GString *texts[] = {
        text_of(asked->customer + 1, profile->preamble_tokens),
        text_of(history, spread(profile->history_tokens, history)),
        text_of(question, profile->question_tokens),
    };
    g_string_printf(asked->body,
                    "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u,"
                    "\"user\":\"c%u\",\"messages\":[",
                    this->model->str, asked->tokens, asked->customer);
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (i > 0) {
            g_string_append_c(asked->body, ',');
        }
        append_message(asked->body, canonical, i == 0 ? "system" : "user",
                       texts[i]);
        g_string_free(texts[i], TRUE);
    }
    g_string_append(asked->body, "]}");
    asked->seed = XXH3_64bits(canonical->str, canonical->len);
    g_string_free(canonical, TRUE);
}

Asked_t *
Workload_next(Workload_t *this)
{
    const Profile_t *profile = this->profile;
    Asked_t *asked = g_new0(Asked_t, 1);
    asked->body = g_string_new(NULL);
    asked->customer =
        draw(this->random, this->customer_shares, profile->customers);
    guint rank = draw(this->random, this->history_shares, profile->histories);
    asked->tokens = spread(profile->answer_tokens, g_rand_int(this->random));
    asked->urgent = (guint)g_rand_int_range(this->random, 0, 100) <
                    profile->urgent_percent;
    this->asked++;
    fill_body(this, asked, history_seed(this, asked->customer, rank));
    return asked;
}

gint64
Workload_gapUs(Workload_t *this, double rate)
{
    double share = g_rand_double(this->random);
    return (gint64)(-log(1.0 - share) / rate * 1e6);
}

void
Workload_shift(Workload_t *this)
{
    this->shift++;
}

void
Asked_destroy(Asked_t *this)
{
    g_string_free(this->body, TRUE);
    g_free(this);
}
