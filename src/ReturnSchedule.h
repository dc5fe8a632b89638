#ifndef HEADER_ReturnSchedule
#define HEADER_ReturnSchedule
/**
 * DOC: ReturnSchedule
 *
 * Tells refused callers when to return, one after the other at the rate at
 * which there is room.
 *
 * It answers a load in which callers that were refused together return
 * together and are refused again. The router that refuses for a group of
 * engines keeps the times that it has promised: the next caller gets a later
 * one, and requests that arrive in between leave room for those that are about
 * to return. A part of the room is handed out, as every place for a return is
 * one that a new request does not get. A request is recognized by its key,
 * which is the same on each attempt.
 */
#include <glib.h>

/** struct ReturnSchedule_t - opaque */
typedef struct ReturnSchedule ReturnSchedule_t;

/**
 * struct ReturnRequest_t - a refused request
 * @key: identity of the request, the same when it returns
 * @fits_ms: time until there would be room if nothing else arrived
 * @room_per_s: requests like this that all engines begin per second; 0 for a
 *     caller that gets no promise
 * @longest_ms: the caller does not wait longer than this before it returns
 */
typedef struct {
    guint64 key;
    gint64 fits_ms;
    double room_per_s;
    gint64 longest_ms;
} ReturnRequest_t;

/**
 * ReturnSchedule_create() - create an empty schedule
 * @promises_max: promises that are kept; beyond that times are still spread
 */
ReturnSchedule_t *ReturnSchedule_create(guint promises_max);

/** ReturnSchedule_destroy() - free it */
void ReturnSchedule_destroy(ReturnSchedule_t *this);

/**
 * ReturnSchedule_promise() - choose when a refused caller may return
 *
 * Return: time from now in ms, at most @longest_ms; a caller that can't wait
 * for its turn gets @longest_ms and no promise
 */
guint ReturnSchedule_promise(ReturnSchedule_t *this,
                             const ReturnRequest_t *request, gint64 now_ms);

/** ReturnSchedule_claim() - whether a request returns on a promise, which is
 * used up by that */
gboolean ReturnSchedule_claim(ReturnSchedule_t *this, guint64 key,
                              gint64 now_ms);

/** ReturnSchedule_countDue() - open promises for the next @within_ms */
guint ReturnSchedule_countDue(ReturnSchedule_t *this, gint64 within_ms,
                              gint64 now_ms);

#endif
