#include "RateLinks.h"

guint
RateLinks_candidates(const RateLinks_t *this, const char *subject,
                     guint64 out[RATE_CANDIDATES_MAX])
{
    return this->class->candidates(this->owner, subject, out);
}

void
RateLinks_scheduleTick(const RateLinks_t *this, gint64 in_ms)
{
    this->class->schedule_tick(this->owner, in_ms);
}

guint64
RateLinks_nextTicket(RateLinks_t *this)
{
    return ++this->ticket;
}

void
RateLinks_sendQuery(const RateLinks_t *this, guint64 router,
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
    ask.pressed = claim->exhausted;
    ask.exact = claim->limit.exact;
    ask.routers = ask.exact ? this->class->remembered_size(this->owner) : 0;
    message.body_case = WT__PEER_MESSAGE__BODY_RATE_ASK;
    message.rate_ask = &ask;
    this->class->send(this->owner, router, &message);
}

void
RateLinks_sendProbe(const RateLinks_t *this, guint64 router, guint64 ticket)
{
    RateClaim_t no_subject = {.subject = ""};
    RateLinks_sendQuery(this, router, &no_subject, ticket);
}

static void
send_reply(const RateLinks_t *this, guint64 router, Wt__RateAnswer *reply)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_RATE_ANSWER;
    message.rate_answer = reply;
    this->class->send(this->owner, router, &message);
}

void
RateLinks_sendProbeReply(const RateLinks_t *this, guint64 router,
                         guint64 ticket)
{
    Wt__RateAnswer reply = WT__RATE_ANSWER__INIT;
    reply.ticket = ticket;
    send_reply(this, router, &reply);
}

void
RateLinks_sendReply(const RateLinks_t *this, guint64 router,
                    const char *subject, guint64 ticket,
                    const RateDecision_t *decision)
{
    Wt__RateAnswer reply = WT__RATE_ANSWER__INIT;
    reply.ticket = ticket;
    reply.subject = (char *)subject;
    reply.admitted = decision->admitted;
    reply.open = decision->open;
    reply.retry_after_ms = decision->retry_after_ms;
    reply.left = decision->left;
    send_reply(this, router, &reply);
}

void
RateLinks_sendRedirect(const RateLinks_t *this, guint64 router,
                       const Wt__RateAsk *ask, guint64 target)
{
    Wt__RateAnswer reply = WT__RATE_ANSWER__INIT;
    reply.ticket = ask->ticket;
    reply.subject = ask->subject;
    reply.elsewhere = target;
    send_reply(this, router, &reply);
}
