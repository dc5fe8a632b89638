#ifndef HEADER_StartProof
#define HEADER_StartProof
/**
 * DOC: StartProof
 *
 * Asks an engine which start its process is. The list states a version for one
 * start of an engine, but the engine may have started again under its name
 * since its entry was written, so that a connection may lead to another
 * process than the entry's.
 *
 * A connection that was opened once the start was known leads to that start or
 * to a later one. If the engine, asked after that, states the start, then it
 * has not started again, and the connection leads to the entry's process for
 * as long as it is open. A question that is lost, or not answered in half of
 * the time, is asked once more.
 */
#include "OrderForm.h"
#include "Upstream.h"

/**
 * struct StartProofSpec_t - parameters of StartProof_ask()
 * @upstream: the engine
 * @form: path and format of the engine's state
 * @timeout_ms: timeout of the question and its repetition together
 */
typedef struct {
    Upstream_t *upstream;
    const OrderForm_t *form;
    gint64 timeout_ms;
} StartProofSpec_t;

/** StartProofDone_t - called once, unless the question was cancelled;
 * @incarnation is 0 if the engine states none or does not answer, which
 * @is_silent tells */
typedef void (*StartProofDone_t)(void *owner, guint64 incarnation,
                                 gboolean is_silent);

/** struct StartProof_t - opaque; frees itself after its callback */
typedef struct StartProof StartProof_t;

/** StartProof_isNeeded() - whether the list states a version of the engine
 * for a start that the engine can confirm */
gboolean StartProof_isNeeded(const Upstream_t *upstream);

/**
 * StartProof_ask() - ask the engine
 *
 * If it states a later start than the one known, the upstream gets that one
 * before the callback.
 */
StartProof_t *StartProof_ask(struct event_base *base,
                             const StartProofSpec_t *spec,
                             StartProofDone_t done, void *owner);

/** StartProof_cancel() - the callback is not called */
void StartProof_cancel(StartProof_t *this);

#endif
