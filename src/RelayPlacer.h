#ifndef HEADER_RelayPlacer
#define HEADER_RelayPlacer
/**
 * DOC: RelayPlacer
 *
 * Chooses an upstream for a relayed request: by the parts of its prompt if its
 * route says so, else by load. It also computes the cache salt from the model,
 * the chosen engine's version of weights and, unless the customer shares its
 * cache, the customer, so that no cached prefix of another customer or version
 * is used.
 */
#include "Context.h"
#include "RelayForm.h"
#include "Salt.h"

/** Size of an IP address, a colon and a port as text */
#define RELAY_ADDRESS_SIZE (ADDRESS_HOST_SIZE + 6)

/**
 * struct RelayPlacementInput_t - a request that an upstream is chosen for
 * @route: route of the request
 * @service: service that was picked from the route's targets
 * @customer: customer of the request, or NULL
 * @request: the parsed head
 * @terms: which upstreams the request may use
 * @group: group of engines that is to take it, plus 1; 0 for that of its home
 * @software: the only software version that may be used; see Placement_t
 */
typedef struct {
    const Route_t *route;
    const char *service;
    const RouteCustomer_t *customer;
    const RelayRequest_t *request;
    PlacementConstraints_t terms;
    guint group;
    const char *software;
} RelayPlacementInput_t;

/**
 * struct RelayDestination_t - where a request is sent; valid until the end of
 * the loop iteration
 * @route: name of the request's route
 * @placement: inputs of the choice, for Policy_learn()
 * @choice: the chosen upstream, or none
 * @salt: cache salt; empty for a plain service
 * @fetch_from: address to fetch cached prefixes from; empty for none
 * @save_to: address to save the computed prefix at; empty for none
 * @saved_prefix: identity of the prefix that may be saved
 */
typedef struct {
    const char *route;
    Placement_t placement;
    Choice_t choice;
    char salt[SALT_LENGTH + 1];
    char fetch_from[RELAY_ADDRESS_SIZE];
    char save_to[RELAY_ADDRESS_SIZE];
    guint64 saved_prefix;
} RelayDestination_t;

/**
 * RelayPlacer_hasOverdueWeights() - whether the upstream's weights are too old
 * for an answer to begin there
 * @model: requested model, or NULL
 *
 * Holds early enough to take a request back from the engine's queue.
 */
gboolean RelayPlacer_hasOverdueWeights(const Context_t *context,
                                       const char *model,
                                       const Upstream_t *upstream);

/**
 * RelayPlacer_msUntilOverdue() - shortest time until
 * RelayPlacer_hasOverdueWeights() may hold
 *
 * Newer weights may be named at any time.
 *
 * Return: time in ms; G_MAXINT64 without a model
 */
gint64 RelayPlacer_msUntilOverdue(const Context_t *context, const char *model,
                                  const Upstream_t *upstream);

/** RelayPlacer_fillModelInputs() - fill in the wanted weights of a model and
 * the state of the prefix store; @model may be NULL */
void RelayPlacer_fillModelInputs(const Context_t *context, const char *model,
                                 Placement_t *placement);

/**
 * RelayPlacer_spreadKey() - key of the errors of a request's estimates
 *
 * Urgent requests on engines of their own are estimated better than others.
 *
 * Return: @route or the target of the placement
 */
const char *RelayPlacer_spreadKey(const Context_t *context,
                                  const Placement_t *placement,
                                  const char *route);

/** RelayPlacer_choose() - choose an upstream; fills in @placement, @choice and
 * a salt that does not depend on the upstream */
void RelayPlacer_choose(const Context_t *context,
                        const RelayPlacementInput_t *input,
                        RelayDestination_t *out);

/** RelayPlacer_prepare() - fill in the salt and the cache addresses for the
 * chosen upstream, and count the request there */
void RelayPlacer_prepare(const Context_t *context,
                         const RelayPlacementInput_t *input,
                         RelayDestination_t *out);

/** RelayDestination_log() - log the choice and its reason at level debug */
void RelayDestination_log(const RelayDestination_t *this,
                          const char *request_id,
                          const RelayRequest_t *request);

#endif
