#ifndef HEADER_AnswerRoom
#define HEADER_AnswerRoom
/**
 * DOC: AnswerRoom
 *
 * Bounds the bytes of whole answers that a router holds: those that arrive,
 * and those that wait for their callers (PendingReply.h). While they exceed
 * the bound, or those that arrive a half of it, answers are left at their
 * upstreams and read on in turn. If callers hold more than half of it then,
 * answers that may be are passed on as they arrive instead, so that each holds
 * little. Beyond that half, callers that have read nothing for a while are
 * given up, the longest first.
 */
#include <event2/event.h>
#include <glib.h>

/** ANSWER_ROOM_STALL_MS - time without progress after which a caller may be
 * given up */
#define ANSWER_ROOM_STALL_MS 2000

/** ANSWER_ROOM_FREE_MAX - bytes of an answer for which there is always room */
#define ANSWER_ROOM_FREE_MAX ((gsize)16 << 10)

/** struct AnswerRoom_t - opaque */
typedef struct AnswerRoom AnswerRoom_t;

/**
 * struct AnswerWaiter_t - an answer that may have to wait
 * @resume: called when it may go on
 * @owner: passed to @resume
 * @may_pass: the answer may be passed on before it is complete; set by the
 *     owner
 *
 * The other fields are private.
 */
typedef struct {
    void (*resume)(void *owner);
    void *owner;
    gboolean may_pass;
    AnswerRoom_t *room;
    GList link;
    gboolean is_waiting;
} AnswerWaiter_t;

/**
 * AnswerRoom_create() - create a room without answers
 * @arriving: bytes of all answers that arrive; must outlive the room
 * @max: bytes of these and of those that wait for their callers
 */
AnswerRoom_t *AnswerRoom_create(struct event_base *base, const gsize *arriving,
                                gsize max);

/** AnswerRoom_destroy() - free the room; answers that wait are not resumed,
 * and their waiters must not be used again */
void AnswerRoom_destroy(AnswerRoom_t *this);

/** AnswerRoom_setMax() - change @max of AnswerRoom_create() */
void AnswerRoom_setMax(AnswerRoom_t *this, gsize max);

/** AnswerRoom_isUsedUp() - whether callers hold all of the room; while memory
 * is short as well, no new call may begin */
gboolean AnswerRoom_isUsedUp(const AnswerRoom_t *this);

/** AnswerWaiter_init() - prepare an answer that does not wait */
void AnswerWaiter_init(AnswerWaiter_t *this, AnswerRoom_t *room,
                       void (*resume)(void *owner), void *owner);

/** AnswerWaiter_clear() - the answer has arrived or ended */
void AnswerWaiter_clear(AnswerWaiter_t *this);

/**
 * AnswerWaiter_mustWait() - whether no more of an answer may be read for now
 * @received: bytes of it so far
 *
 * If so, @resume is called later. The first of those that wait for each other
 * goes on beyond the bound.
 */
gboolean AnswerWaiter_mustWait(AnswerWaiter_t *this, gsize received);

/** AnswerWaiter_mustPass() - whether what was received of an answer is to be
 * passed on now, as callers hold the room; before AnswerWaiter_mustWait() */
gboolean AnswerWaiter_mustPass(const AnswerWaiter_t *this, gsize received);

#endif
