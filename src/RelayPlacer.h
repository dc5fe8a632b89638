#ifndef HEADER_RelayPlacer
#define HEADER_RelayPlacer
/**
 * DOC: RelayPlacer
 *
 * Chooses an upstream for a relayed request: by the parts of its prompt
 * where its route says so, else by load. It also names the cache salt, which
 * holds the customer, unless it shares, and the version of weights that the
 * chosen engine has, so that no part of another wall or version is used.
 */
#include "Context.h"
#include "RelayForm.h"
#include "Salt.h"

/** Longest IP number, a colon and a port */
#define RELAY_ADDRESS_SIZE (ADDRESS_HOST_SIZE + 6)

/**
 * struct RelayWish_t - a request that wants an upstream
 * @route: its route
 * @service: of the route's targets
 * @customer: whose it is, or NULL
 * @request: what its head says
 * @terms: which upstreams it may use
 */
typedef struct {
    const Route_t *route;
    const char *service;
    const RouteCustomer_t *customer;
    const RelayRequest_t *request;
    PlacementTerms_t terms;
} RelayWish_t;

/**
 * struct RelayPlacing_t - where it goes; valid until the loop runs on
 * @placement: what was weighed, for Policy_learn()
 * @choice: the upstream, or none
 * @salt: cache salt; empty for a plain service
 * @fetch_from: address to take cached prefixes from; empty for none
 * @save_to: address to keep them at; empty for none
 * @saved_prefix: identity of what is kept there
 */
typedef struct {
    Placement_t placement;
    Choice_t choice;
    char salt[SALT_LENGTH + 1];
    char fetch_from[RELAY_ADDRESS_SIZE];
    char save_to[RELAY_ADDRESS_SIZE];
    guint64 saved_prefix;
} RelayPlacing_t;

/**
 * RelayPlacer_isOverdue() - whether an answer must not begin there any more
 * @model: that is asked for, or NULL
 *
 * A request that waits in an engine's queue may still be taken back then.
 */
gboolean RelayPlacer_isOverdue(const Context_t *context, const char *model,
                               const Upstream_t *upstream);

/**
 * RelayPlacer_overdueInMs() - how long until that may hold at the soonest
 *
 * Newer weights may be named at any time from now on.
 *
 * Return: G_MAXINT64 without a model
 */
gint64 RelayPlacer_overdueInMs(const Context_t *context, const char *model,
                               const Upstream_t *upstream);

/** RelayPlacer_preferNewest() - fill in which weights are wanted of a model,
 * and what is kept beside the engines; @model may be NULL */
void RelayPlacer_preferNewest(const Context_t *context, const char *model,
                              Placement_t *placement);

/** RelayPlacer_choose() - choose an upstream; nothing else is filled in */
void RelayPlacer_choose(const Context_t *context, const RelayWish_t *wish,
                        RelayPlacing_t *out);

/** RelayPlacer_prepare() - what the upstream that was chosen is told */
void RelayPlacer_prepare(const Context_t *context, const RelayWish_t *wish,
                         RelayPlacing_t *out);

/** RelayPlacing_log() - a line of what was chosen and why, at level debug */
void RelayPlacing_log(const RelayPlacing_t *this, const char *request_id,
                      const RelayRequest_t *request);

#endif
