#include "Workload.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "Json.h"

/* The ratio by which engine stand-ins count the tokens of a prompt. */
#define BYTES_PER_TOKEN 4
#define BYTES_PER_WORD 8

struct Workload {
    const LoadProfile_t *profile;
    GString *model;
    GRand *random;
    double *customer_shares; /* cumulative */
    double *history_shares;  /* cumulative */
    guint history_generation;
    guint64 request_count;
};

static const LoadProfile_t profiles[] = {
    {"small", 1, 50, 20, 40, 10, 50, 0.0, 0.0, 0, 0},
    {"kochi", 8, 300, 1500, 4000, 60, 100, 0.8, 0.9, 10000, 30},
    {"rosario", 8, 60, 800, 2500, 40, 60, 0.8, 1.2, 5000, 30},
};

const LoadProfile_t *
Workload_findProfile(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(profiles); i++) {
        if (strcmp(profiles[i].name, name) == 0) {
            return &profiles[i];
        }
    }
    return NULL;
}

static double *
create_zipf_shares(guint count, double skew)
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
draw_rank(GRand *random, const double *shares, guint count)
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
Workload_create(const LoadProfile_t *profile, const char *model, guint32 seed)
{
    Workload_t *this = g_new0(Workload_t, 1);
    this->profile = profile;
    this->model = g_string_new(model);
    this->random = g_rand_new_with_seed(seed);
    this->customer_shares =
        create_zipf_shares(profile->customers, profile->customer_skew);
    this->history_shares =
        create_zipf_shares(profile->histories, profile->history_skew);
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

/* Returns words of hex digits that depend on the seed alone. */
static GString *
create_text(guint64 seed, guint tokens)
{
    gsize length = (gsize)tokens * BYTES_PER_TOKEN;
    GString *text = g_string_sized_new(length + BYTES_PER_WORD);
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

/* Returns a length between 0.5 and 1.5 times the mean, chosen by the seed. */
static guint
vary_length(guint mean, guint64 seed)
{
    return mean / 2 + (guint)(seed % (mean + 1));
}

static guint64
derive_history_seed(const Workload_t *this, guint customer, guint rank)
{
    guint64 identity[3] = {customer, rank, this->history_generation};
    return XXH3_64bits(identity, sizeof(identity));
}

static void
fill_body(Workload_t *this, LoadRequest_t *request, guint64 history_seed)
{
    const LoadProfile_t *profile = this->profile;
    guint64 question_seed =
        XXH3_64bits(&this->request_count, sizeof(this->request_count));
    GString *canonical = g_string_new(NULL);
    GString *texts[] = {
        create_text(request->customer + 1, profile->preamble_tokens),
        create_text(history_seed,
                    vary_length(profile->history_tokens, history_seed)),
        create_text(question_seed, profile->question_tokens),
    };
    g_string_printf(request->body,
                    "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u,"
                    "\"user\":\"c%u\",\"messages\":[",
                    this->model->str, request->tokens, request->customer);
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (i > 0) {
            g_string_append_c(request->body, ',');
        }
        append_message(request->body, canonical, i == 0 ? "system" : "user",
                       texts[i]);
        g_string_free(texts[i], TRUE);
    }
    g_string_append(request->body, "]}");
    request->seed = XXH3_64bits(canonical->str, canonical->len);
    g_string_free(canonical, TRUE);
}

LoadRequest_t *
Workload_createRequest(Workload_t *this)
{
    const LoadProfile_t *profile = this->profile;
    LoadRequest_t *request = g_new0(LoadRequest_t, 1);
    request->body = g_string_new(NULL);
    request->customer =
        draw_rank(this->random, this->customer_shares, profile->customers);
    guint rank =
        draw_rank(this->random, this->history_shares, profile->histories);
    request->tokens =
        vary_length(profile->answer_tokens, g_rand_int(this->random));
    request->urgent = (guint)g_rand_int_range(this->random, 0, 100) <
                      profile->urgent_percent;
    this->request_count++;
    fill_body(this, request,
              derive_history_seed(this, request->customer, rank));
    return request;
}

gint64
Workload_drawGapUs(Workload_t *this, double rate)
{
    double share = g_rand_double(this->random);
    return (gint64)(-log(1.0 - share) / rate * 1e6);
}

void
Workload_shiftHistories(Workload_t *this)
{
    this->history_generation++;
}

void
LoadRequest_destroy(LoadRequest_t *this)
{
    g_string_free(this->body, TRUE);
    g_free(this);
}
