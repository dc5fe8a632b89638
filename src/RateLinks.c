#include "RateLinks.h"

guint
RateLinks_candidates(const RateLinks_t *this, const char *subject,
                     guint64 out[RATE_CANDIDATES])
{
    return this->class->candidates(this->owner, subject, out);
}

void
RateLinks_wake(const RateLinks_t *this, gint64 in_ms)
{
    this->class->wake(this->owner, in_ms);
}

guint64
RateLinks_nextTicket(RateLinks_t *this)
{
    return ++this->ticket;
}

void
RateLinks_ask(const RateLinks_t *this, guint64 router,
              const RateClaim_t *claim, guint64 ticket)
{
    Wt__RateAsk ask = WT__RATE_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    ask.ticket = ticket;
    ask.subject = (char *)claim->subject;
    ask.version = claim->limit.version;
    ask.per_s = claim->limit.per_s;
    ask.burst = claim->limit.burst;
    ask.units = claim->units;
    ask.spent = claim->spent;
    ask.pressed = claim->pressed;
    ask.exact = claim->limit.exact;
    message.body_case = WT__PEER_MESSAGE__BODY_RATE_ASK;
    message.rate_ask = &ask;
    this->class->send(this->owner, router, &message);
}

void
RateLinks_probe(const RateLinks_t *this, guint64 router, guint64 ticket)
{
    RateClaim_t nobody = {.subject = ""};
    RateLinks_ask(this, router, &nobody, ticket);
}

static void
send_answer(const RateLinks_t *this, guint64 router, Wt__RateAnswer *answer)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_RATE_ANSWER;
    message.rate_answer = answer;
    this->class->send(this->owner, router, &message);
}

void
RateLinks_show(const RateLinks_t *this, guint64 router, guint64 ticket)
{
    Wt__RateAnswer answer = WT__RATE_ANSWER__INIT;
    answer.ticket = ticket;
    send_answer(this, router, &answer);
}

void
RateLinks_answer(const RateLinks_t *this, guint64 router, const char *subject,
                 guint64 ticket, const RateRuling_t *ruling)
{
    Wt__RateAnswer answer = WT__RATE_ANSWER__INIT;
    answer.ticket = ticket;
    answer.subject = (char *)subject;
    answer.admitted = ruling->admitted;
    answer.open = ruling->open;
    answer.retry_after_ms = ruling->retry_after_ms;
    answer.left = ruling->left;
    send_answer(this, router, &answer);
}

void
RateLinks_sendOn(const RateLinks_t *this, guint64 router,
                 const Wt__RateAsk *ask, guint64 better)
{
    Wt__RateAnswer answer = WT__RATE_ANSWER__INIT;
    answer.ticket = ask->ticket;
    answer.subject = ask->subject;
    answer.elsewhere = better;
    send_answer(this, router, &answer);
}
