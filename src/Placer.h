#ifndef HEADER_Placer
#define HEADER_Placer
/**
 * DOC: Placer
 *
 * Puts together what a policy needs to place a model request: the salted
 * identity of its prefix, the weights it must be answered from, and the
 * engines that serve it.
 */
#include "Context.h"
#include "Prompt.h"
#include "Salt.h"

/**
 * struct Placing_t - where a request goes; valid until the loop runs on
 * @placement: what was weighed, for Policy_learn()
 * @choice: the engine, or none
 * @salt: cache salt
 * @weights: version that the answer must come from
 */
typedef struct {
    Placement_t placement;
    Choice_t choice;
    char salt[SALT_LENGTH + 1];
    const char *weights;
} Placing_t;

/**
 * Placer_place() - choose an engine
 * @customer: whose request it is
 * @terms: which engines it may use
 * @placing: filled
 *
 * Return: FALSE where the model is no longer declared
 */
gboolean Placer_place(const Context_t *context, const Prompt_t *prompt,
                      const char *customer, const PlacementTerms_t *terms,
                      Placing_t *placing);

#endif
