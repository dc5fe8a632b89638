#include "Reach.h"

/* One missing answer counts as packet loss. A partition that this hides has
 * less than a tenth of the routers. */
#define TOLERATED_LOSSES 1
/* Weight of a round in the moving mean, except for the first round, which
 * counts in full. Half of a partition shows after one round, and the deviation
 * of a single round is halved. */
#define ROUND_WEIGHT 0.5
/* After STABLE_ROUNDS_MIN rounds in which all routers answered, only
 * STABLE_SAMPLE_MAX routers are probed until one does not answer. */
#define STABLE_ROUNDS_MIN 4
#define STABLE_SAMPLE_MAX 4

struct Reach {
    guint64 first_ticket; /* ticket of the last round's first probe */
    guint probed;
    guint answered;
    guint64 answered_bits; /* bit i: probe i was answered */
    guint others;
    guint rounds;
    guint stable_rounds; /* consecutive rounds without a loss */
    double fraction;
};

Reach_t *
Reach_create(void)
{
    Reach_t *this = g_new0(Reach_t, 1);
    this->fraction = 1;
    return this;
}

void
Reach_destroy(Reach_t *this)
{
    g_free(this);
}

static void
evaluate_round(Reach_t *this)
{
    if (this->probed == 0) {
        return;
    }
    guint lost = this->probed - this->answered;
    this->stable_rounds = lost == 0 ? this->stable_rounds + 1 : 0;
    double answering_fraction =
        lost <= TOLERATED_LOSSES ? 1 : 1 - (double)lost / this->probed;
    double reached_fraction =
        (answering_fraction * this->others + 1) / (this->others + 1);
    this->fraction += (reached_fraction - this->fraction) *
                      (this->rounds > 0 ? ROUND_WEIGHT : 1);
    this->rounds++;
}

static guint
choose_sample_size(const Reach_t *this)
{
    return this->stable_rounds >= STABLE_ROUNDS_MIN ? STABLE_SAMPLE_MAX
                                                    : REACH_SAMPLE_MAX;
}

void
Reach_startRound(Reach_t *this, const ReachSample_t *sample,
                 ReachSendProbe_t send_probe, void *owner)
{
    evaluate_round(this);
    this->first_ticket += this->probed;
    this->probed = MIN(sample->drawn, choose_sample_size(this));
    this->answered = 0;
    this->answered_bits = 0;
    this->others = sample->others;
    for (guint i = 0; i < this->probed; i++) {
        send_probe(owner, sample->routers[i], this->first_ticket + i);
    }
}

void
Reach_reset(Reach_t *this)
{
    this->first_ticket += this->probed;
    this->probed = 0;
    this->rounds = 0;
    this->stable_rounds = 0;
    this->fraction = 1;
}

void
Reach_noteAnswer(Reach_t *this, guint64 ticket)
{
    guint64 probe_idx = ticket - this->first_ticket;
    if (probe_idx < this->probed &&
        !(this->answered_bits & 1ULL << probe_idx)) {
        this->answered_bits |= 1ULL << probe_idx;
        this->answered++;
    }
}

double
Reach_fraction(const Reach_t *this)
{
    return this->fraction;
}
