#include "RateKeeper.h"

#include <math.h>
#include <string.h>

#include "Clock.h"
#include "RateAsks.h"
#include "RateCounts.h"
#include "RateWords.h"

/* Where much is left, what was let in is told once all routers together may
 * have let in this part of the depth without telling. */
#define UNTOLD_PART 0.125

struct RateKeeper {
    RateLimits_t super;
    RateLinks_t links;
    Counters_t *counters;
    RateRoll_t *roll;
    RateCounts_t *counts;
    RateAsks_t *asks;
    RateWords_t *words;
};

static guint
count_routers(const RateKeeper_t *this)
{
    return this->links.class->routers(this->links.owner);
}

static void
count_ask(const RateKeeper_t *this, const char *labels)
{
    Counters_add(this->counters, "rate_asks_total", labels, 1);
}

static RateVerdict_t
decide_here(RateKeeper_t *this, RateWord_t *word, const RateRequest_t *request)
{
    RateClaim_t claim = RateWord_claim(word, request);
    RateRuling_t ruling = RateCounts_rule(this->counts, &claim);
    RateWord_note(word, ruling.open, ruling.left);
    word->version = request->limit.version;
    if (ruling.admitted) {
        OwnShare_note(&word->share, request->units, Clock_nowMs());
    }
    return (RateVerdict_t){
        .admitted = ruling.admitted,
        .retry_after_ms = ruling.retry_after_ms,
        .by = "self",
        .left = ruling.left,
    };
}

/* By this router's own share, as nobody has answered. */
static RateVerdict_t
decide_alone(const RateKeeper_t *this, RateWord_t *word,
             const RateRequest_t *request)
{
    gint64 now_ms = Clock_nowMs();
    double units = request->units;
    OwnShareFacts_t facts = {
        .limit = request->limit,
        .routers = count_routers(this),
        .pressed = RateWord_isPressed(word),
    };
    RateVerdict_t verdict = {.by = "share"};
    verdict.age_ms = word->word_ms > 0 ? now_ms - word->word_ms : 0;
    verdict.admitted = OwnShare_take(&word->share, &facts, units, now_ms);
    if (verdict.admitted) {
        OwnShare_note(&word->share, units, now_ms);
        word->untold += units;
    }
    else {
        verdict.retry_after_ms = OwnShare_refuse(&word->share, units, now_ms);
    }
    verdict.left = word->share.bucket.level;
    return verdict;
}

static void
end_alone(RateAsk_t *ask)
{
    RateKeeper_t *this = ask->asker;
    RateRequest_t request = RateAsk_request(ask);
    RateWord_t *word = RateWords_of(this->words, request.subject);
    RateVerdict_t verdict = decide_alone(this, word, &request);
    RateAsks_finish(this->asks, ask, &verdict);
}

/* The routers that live are known now. */
static void
ask_again(RateAsk_t *ask)
{
    RateKeeper_t *this = ask->asker;
    RateRequest_t request = RateAsk_request(ask);
    RateWord_t *word = RateWords_of(this->words, request.subject);
    guint64 keeper = RateRoll_keeper(this->roll, request.subject);
    if (keeper == RATE_NOBODY) {
        end_alone(ask);
    }
    else if (keeper == RATE_SELF) {
        RateVerdict_t verdict = decide_here(this, word, &request);
        RateAsks_finish(this->asks, ask, &verdict);
    }
    else {
        RateClaim_t claim = RateWord_claim(word, &request);
        RateAsks_wait(this->asks, ask, RATE_STEP_ASKED_AGAIN);
        RateLinks_ask(&this->links, keeper, &claim, ask->ticket);
    }
}

/* A router is passed over only if a sign of life is missing as well: an answer
 * may be lost. */
static void
go_on_late(RateAsk_t *ask)
{
    RateKeeper_t *this = ask->asker;
    RateVerdict_t nothing = {0};
    if (ask->cancelled) {
        RateAsks_finish(this->asks, ask, &nothing);
    }
    else if (ask->step == RATE_STEP_ASKED) {
        count_ask(this, "outcome=\"unanswered\"");
        RateRoll_call(this->roll, ask->subject->str);
        RateAsks_wait(this->asks, ask, RATE_STEP_ROLL_CALLED);
    }
    else if (ask->step == RATE_STEP_ROLL_CALLED) {
        ask_again(ask);
    }
    else {
        end_alone(ask);
    }
}

static void
report(RateKeeper_t *this, RateWord_t *word, const RateRequest_t *request)
{
    guint64 keeper = RateRoll_keeper(this->roll, request->subject);
    if (keeper == RATE_NOBODY) {
        return;
    }
    RateRequest_t nothing = *request;
    nothing.units = 0;
    RateClaim_t claim = RateWord_claim(word, &nothing);
    if (keeper == RATE_SELF) {
        RateCounts_rule(this->counts, &claim);
        return;
    }
    if (word->told_ms == 0) {
        word->told_ms = Clock_nowMs();
    }
    RateLinks_ask(&this->links, keeper, &claim,
                  RateLinks_nextTicket(&this->links));
    count_ask(this, "outcome=\"told\"");
}

static void
report_sometimes(RateKeeper_t *this, RateWord_t *word,
                 const RateRequest_t *request)
{
    double depth = TokenBucket_depth(&request->limit);
    if (fabs(word->untold) * count_routers(this) >= depth * UNTOLD_PART) {
        report(this, word, request);
    }
}

static RateVerdict_t
go_on_open(RateKeeper_t *this, RateWord_t *word, const RateRequest_t *request,
           gint64 now_ms)
{
    RateVerdict_t verdict = {
        .admitted = TRUE,
        .by = "open",
        .age_ms = now_ms - word->word_ms,
    };
    OwnShare_note(&word->share, request->units, now_ms);
    word->untold += request->units;
    report_sometimes(this, word, request);
    return verdict;
}

static RateAsk_t *
ask_keeper(RateKeeper_t *this, RateWord_t *word, const RateRequest_t *request,
           guint64 keeper)
{
    RateAsk_t *ask = RateAsks_add(this->asks, this, request);
    RateClaim_t claim = RateWord_claim(word, request);
    word->told_ms = 0;
    RateLinks_ask(&this->links, keeper, &claim, ask->ticket);
    return ask;
}

static RateAsk_t *
enter(RateLimits_t *super, const RateRequest_t *request, RateVerdict_t *out,
      RateDone_t done, void *owner)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateWord_t *word = RateWords_of(this->words, request->subject);
    gint64 now_ms = Clock_nowMs();
    guint64 keeper = RateRoll_keeper(this->roll, request->subject);
    if (keeper == RATE_SELF) {
        *out = decide_here(this, word, request);
        return NULL;
    }
    if (RateWord_isOpen(word, &request->limit, now_ms)) {
        *out = go_on_open(this, word, request, now_ms);
        return NULL;
    }
    if (keeper == RATE_NOBODY) {
        RateRoll_call(this->roll, request->subject);
        *out = decide_alone(this, word, request);
        return NULL;
    }
    RateAsk_t *ask = ask_keeper(this, word, request, keeper);
    ask->done = done;
    ask->owner = owner;
    return ask;
}

/* The answer is awaited all the same: what it lets in is given back. */
static void
cancel(RateAsk_t *ask)
{
    ask->cancelled = TRUE;
}

static void
give_back(RateLimits_t *super, const RateRequest_t *request)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateWord_t *word = RateWords_of(this->words, request->subject);
    OwnShare_note(&word->share, -request->units, Clock_nowMs());
    word->untold -= request->units;
    report_sometimes(this, word, request);
}

static gboolean
is_amount(double value)
{
    return isfinite(value) && value >= 0;
}

/* A router of another build may say anything. */
static gboolean
is_sound(const Wt__RateAsk *ask)
{
    return is_amount(ask->per_s) && ask->per_s > 0 && is_amount(ask->burst) &&
           is_amount(ask->units) && isfinite(ask->spent);
}

static void
decide_for(RateKeeper_t *this, const Wt__RateAsk *ask, guint64 from)
{
    guint64 better = RateRoll_better(this->roll, ask->subject, from);
    if (better != RATE_SELF) {
        RateCounts_drop(this->counts, ask->subject);
        RateLinks_sendOn(&this->links, from, ask, better);
        count_ask(this, "outcome=\"sent_on\"");
        return;
    }
    RateClaim_t claim = {
        .subject = ask->subject,
        .limit = {ask->per_s, ask->burst, ask->version, ask->exact},
        .units = ask->units,
        .spent = ask->spent,
        .pressed = ask->pressed,
        .from = from,
    };
    RateRuling_t ruling = RateCounts_rule(this->counts, &claim);
    RateLinks_answer(&this->links, from, ask->subject, ask->ticket, &ruling);
}

/* A question about nobody asks for a sign of life. */
static void
take_ask(RateKeeper_t *this, const Wt__RateAsk *ask, guint64 from)
{
    if (*ask->subject == '\0') {
        RateLinks_show(&this->links, from, ask->ticket);
    }
    else if (is_sound(ask)) {
        decide_for(this, ask, from);
    }
    else {
        count_ask(this, "outcome=\"not_understood\"");
    }
}

static void
take_word(RateKeeper_t *this, const Wt__RateAnswer *answer,
          const RateAsk_t *ask)
{
    RateWord_t *word = RateWords_find(this->words, answer->subject);
    if (!word) {
        return;
    }
    RateWord_note(word, answer->open, answer->left);
    word->told_ms = 0;
    if (ask) {
        word->version = ask->limit.version;
    }
}

static void
take_verdict(RateKeeper_t *this, RateAsk_t *ask, const Wt__RateAnswer *answer)
{
    RateVerdict_t verdict = {
        .admitted = answer->admitted,
        .retry_after_ms = answer->retry_after_ms,
        .by = "keeper",
        .left = answer->left,
    };
    RateWord_t *word = RateWords_of(this->words, ask->subject->str);
    if (ask->cancelled && answer->admitted) {
        word->untold -= ask->units;
    }
    else if (answer->admitted) {
        OwnShare_note(&word->share, ask->units, Clock_nowMs());
    }
    RateAsks_finish(this->asks, ask, &verdict);
}

/* The router that comes first answers others, so that it is not passed over
 * any more. One question is sent on once; what was told is told there. */
static void
go_elsewhere(RateKeeper_t *this, const Wt__RateAnswer *answer, RateAsk_t *ask)
{
    RateWord_t *word = RateWords_find(this->words, answer->subject);
    RateRoll_trust(this->roll, answer->elsewhere);
    if (word) {
        word->open = FALSE;
        word->told_ms = 0;
    }
    if (!ask || ask->was_sent_on) {
        return;
    }
    RateRequest_t request = RateAsk_request(ask);
    RateClaim_t claim =
        RateWord_claim(RateWords_of(this->words, request.subject), &request);
    ask->was_sent_on = TRUE;
    RateLinks_ask(&this->links, answer->elsewhere, &claim, ask->ticket);
}

static void
take_answer(RateKeeper_t *this, const Wt__RateAnswer *answer)
{
    if (*answer->subject == '\0') {
        RateCounts_noteAnswer(this->counts, answer->ticket);
        return;
    }
    RateAsk_t *ask = RateAsks_find(this->asks, answer->ticket);
    if (answer->elsewhere != RATE_SELF) {
        go_elsewhere(this, answer, ask);
        return;
    }
    take_word(this, answer, ask);
    if (ask) {
        count_ask(this, "outcome=\"answered\"");
        take_verdict(this, ask, answer);
    }
}

void
RateKeeper_take(RateKeeper_t *this, const Wt__PeerMessage *message,
                guint64 from)
{
    RateRoll_noteHeard(this->roll, from);
    if (message->body_case == WT__PEER_MESSAGE__BODY_RATE_ASK) {
        take_ask(this, message->rate_ask, from);
    }
    else if (message->body_case == WT__PEER_MESSAGE__BODY_RATE_ANSWER) {
        take_answer(this, message->rate_answer);
    }
}

static void
go_on_with_late(RateKeeper_t *this, gint64 now_ms)
{
    RateAsk_t *ask = RateAsks_firstLate(this->asks, now_ms);
    while (ask) {
        go_on_late(ask);
        ask = RateAsks_firstLate(this->asks, now_ms);
    }
}

static void
wake_again(const RateKeeper_t *this, gint64 now_ms)
{
    gint64 due_ms = RateCounts_dueMs(this->counts);
    RateAsks_wakeAgain(this->asks, now_ms);
    if (RateRoll_isWaiting(this->roll)) {
        RateLinks_wake(&this->links, RATE_WAIT_MS);
    }
    if (due_ms > 0) {
        RateLinks_wake(&this->links, due_ms - now_ms);
    }
}

void
RateKeeper_tick(RateKeeper_t *this)
{
    gint64 now_ms = Clock_nowMs();
    RateCounts_tick(this->counts, now_ms);
    RateRoll_expire(this->roll, now_ms);
    go_on_with_late(this, now_ms);
    wake_again(this, now_ms);
}

static void
destroy(RateLimits_t *super)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateAsks_destroy(this->asks);
    RateWords_destroy(this->words);
    RateCounts_destroy(this->counts);
    RateRoll_destroy(this->roll);
    g_free(this);
}

static const RateLimitsClass_t class = {
    .name = "ask",
    .enter = enter,
    .cancel = cancel,
    .give_back = give_back,
    .destroy = destroy,
};

RateKeeper_t *
RateKeeper_create(const RateLinksClass_t *links, void *owner,
                  Counters_t *counters)
{
    RateKeeper_t *this = g_new0(RateKeeper_t, 1);
    this->super.class = &class;
    this->links = (RateLinks_t){.class = links, .owner = owner};
    this->counters = counters;
    this->roll = RateRoll_create(&this->links, counters);
    this->counts = RateCounts_create(&this->links, this->roll);
    this->words = RateWords_create();
    this->asks = RateAsks_create(&this->links);
    return this;
}

RateLimits_t *
RateKeeper_limits(RateKeeper_t *this)
{
    return &this->super;
}
