#ifndef HEADER_ReplayCaller
#define HEADER_ReplayCaller
/**
 * DOC: ReplayCaller
 *
 * The callers of a replay: when they send which requests. A caller waits until
 * its deadline and returns once after a refusal, when it was told to.
 */
#include "ReplaySpec.h"

/** Virtual time at which a replay starts, in us; 0 stands for no time */
#define REPLAY_START_US ((gint64)1000000)

/**
 * struct ReplayRequest_t - a request and what became of it; times are virtual,
 * in us, and 0 where the event has not happened
 * @kind: index of its kind
 * @customer: number of its customer
 * @prefix: id of its shared prefix
 * @shared_tokens: length of the shared prefix
 * @own_tokens: length of the prompt after the prefix
 * @out_tokens: length of the answer
 * @asked_us: first arrival
 * @sent_us: last time that it was sent to an engine
 * @first_us: first token
 * @token_us: last token
 * @pause_us: longest pause between tokens
 * @expected_us: expected time from @sent_us to the first token
 * @ticket: of the last placement
 * @engine: index of its engine
 * @group: group that took it in place of that of its home, plus 1; 0 for none
 * @retries: times that the caller returned
 * @attempts: times that it was sent to an engine
 * @is_placed: an engine has it
 * @is_over: it has its outcome
 * @is_complete: the outcome is a complete answer
 * @had_choice: when it was placed, another engine had room
 * @waited_beside_room: it waited for its first token beyond its objective
 *     although @had_choice
 */
typedef struct {
    guint kind;
    guint customer;
    guint64 prefix;
    guint shared_tokens;
    guint own_tokens;
    guint out_tokens;
    gint64 asked_us;
    gint64 sent_us;
    gint64 first_us;
    gint64 token_us;
    gint64 pause_us;
    gint64 expected_us;
    guint64 ticket;
    guint engine;
    guint group;
    guint retries;
    guint attempts;
    gboolean is_placed;
    gboolean is_over;
    gboolean is_complete;
    gboolean had_choice;
    gboolean waited_beside_room;
} ReplayRequest_t;

/** ReplayCaller_draw() - draw all requests of a load
 *
 * Return: ReplayRequest_t, by kind and then by arrival
 */
GArray *ReplayCaller_draw(const ReplaySpec_t *spec, GRand *random);

/** ReplayCaller_returns() - whether the caller returns after a refusal */
gboolean ReplayCaller_returns(const ReplayRequest_t *request);

#endif
