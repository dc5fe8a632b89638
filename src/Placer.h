#ifndef HEADER_Placer
#define HEADER_Placer
/**
 * DOC: Placer
 *
 * Collects what a policy needs to place a model request: the salted identity
 * of its prefix, the weights that must answer it, and the engines that serve
 * the model.
 */
#include "Context.h"
#include "Prompt.h"
#include "Salt.h"

/**
 * struct PlacerResult_t - where a request goes; valid until control returns to
 * the event loop
 * @placement: input of the choice, for Policy_learn()
 * @choice: engine that was chosen, or none
 * @salt: cache salt of the request
 * @weights: version that the answer must come from
 */
typedef struct {
    Placement_t placement;
    Choice_t choice;
    char salt[SALT_LENGTH + 1];
    const char *weights;
} PlacerResult_t;

/**
 * Placer_place() - choose an engine
 * @customer: customer who sent the request
 * @constraints: which engines it may use
 * @result: filled in
 *
 * Return: FALSE where the model is no longer declared
 */
gboolean Placer_place(const Context_t *context, const Prompt_t *prompt,
                      const char *customer,
                      const PlacementConstraints_t *constraints,
                      PlacerResult_t *result);

#endif
