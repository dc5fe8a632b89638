#ifndef HEADER_RouteAnswer
#define HEADER_RouteAnswer
/**
 * DOC: RouteAnswer
 *
 * Answers a peer's query for the records of the operators: with patches if the
 * peer reads them, with whole records otherwise, and with what the store has
 * lost if the peer's configuration is older than the one in force here.
 */
#include "RecordAnswers.h"
#include "RecordRelay.h"
#include "RouteVersions.h"

/**
 * struct RouteAnswerSpec_t - what is known here
 * @answers: the records
 * @relay: sends the answer
 * @versions: the configuration in force
 * @known: position before which all records are known
 * @end_ms: monotonic time at which the topic ended at @known; 0 for never
 */
typedef struct {
    const RecordAnswers_t *answers;
    const RecordRelay_t *relay;
    const RouteVersions_t *versions;
    StorePosition_t known;
    gint64 end_ms;
} RouteAnswerSpec_t;

/** RouteAnswer_send() - answer one query. A peer that asked for patches gets a
 * refusal if this router is busy or knows no more, one of an earlier build no
 * answer */
void RouteAnswer_send(const RouteAnswerSpec_t *this, Member_t *from,
                      const Wt__TopicAsk *message);

#endif
