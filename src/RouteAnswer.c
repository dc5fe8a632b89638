#include "RouteAnswer.h"

/* Sends records that the store has lost and only routers still have. */
static void
send_lost_records(const RouteAnswerSpec_t *this, Member_t *from,
                  StorePosition_t known)
{
    GPtrArray *records = RouteVersions_listLost(this->versions, known);
    if (records->len > 0) {
        RecordRelay_sendLostRecords(this->relay, from, records);
    }
    g_ptr_array_unref(records);
}

static gboolean
has_more(const RouteAnswerSpec_t *this, const Wt__TopicAsk *query)
{
    return this->known.epoch == query->epoch &&
           this->known.offset > query->from && this->end_ms > 0;
}

/* Returns FALSE if the records are too long to be encoded. */
static gboolean
send_patch(const RouteAnswerSpec_t *this, Member_t *to,
           const Wt__TopicAsk *query)
{
    StorePosition_t from = {query->epoch, query->from};
    GArray *encoded = RecordAnswers_encode(this->answers, from);
    if (!encoded) {
        return FALSE;
    }
    if (RecordAnswers_isBusy(this->answers, to,
                             RecordAnswers_countEncoded(encoded))) {
        RecordRelay_sendPatchRefusal(this->relay, to, query);
    }
    else {
        RecordRelay_sendPatch(this->relay, to, query->from, encoded,
                              this->known, this->end_ms);
    }
    g_array_unref(encoded);
    return TRUE;
}

static void
send_records(const RouteAnswerSpec_t *this, Member_t *to,
             const Wt__TopicAsk *query)
{
    StorePosition_t from = {query->epoch, query->from};
    GPtrArray *records = RecordAnswers_list(this->answers, from, to);
    if (records) {
        RecordRelay_sendAnswer(this->relay, to, query->from, records,
                               this->known, this->end_ms);
        g_ptr_array_unref(records);
    }
}

/* A router of an earlier build gets no answer if this one is busy or knows no
 * more, and queries another one later. */
void
RouteAnswer_send(const RouteAnswerSpec_t *this, Member_t *from,
                 const Wt__TopicAsk *message)
{
    StorePosition_t requested_from = {message->epoch, message->from};
    if (message->version > 0 &&
        message->version < RouteVersions_inForce(this->versions)) {
        send_lost_records(this, from, requested_from);
    }
    if (!has_more(this, message)) {
        if (message->patches) {
            RecordRelay_sendPatchRefusal(this->relay, from, message);
        }
        return;
    }
    if (!message->patches || !send_patch(this, from, message)) {
        send_records(this, from, message);
    }
}
