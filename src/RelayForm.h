#ifndef HEADER_RelayForm
#define HEADER_RelayForm
/**
 * DOC: RelayForm
 *
 * A platform's wire format for relayed requests: how to read a caller's head,
 * how to write the head for an upstream, and how to read the head of its
 * answer. Bodies are forwarded unchanged. A platform implements the format as
 * two tables of functions.
 */
#include <event2/http.h>
#include <glib.h>

#include "BodyFraming.h"
#include "HeaderCheck.h"
#include "Prompt.h"
#include "PromptParts.h"
#include "UpstreamNotice.h"

/** Header of a request that another router forwards: name of that router */
#define RELAY_FORWARDED_BY "Wheattiller-Forwarded-By"
/** Header of a request that another router forwards, its first one: a proof
 * that it comes from a router (ForwardProof.h) */
#define RELAY_FORWARD_PROOF "Wheattiller-Forward-Proof"
/** Header of a refusal of a forwarded request that another router may serve,
 * which has not run */
#define RELAY_TRY_ANOTHER "Wheattiller-Try-Another"
/** Its value: the router can serve no request now */
#define RELAY_REFUSES_ALL "1"
/** Its value: the router reaches no upstream of the request's service */
#define RELAY_REFUSES_SERVICE "service"
/** Header of an answer to another router: only the end of a connection marked
 * the end of the upstream's answer */
#define RELAY_CLOSE_DELIMITED "Wheattiller-Close-Delimited"

/** Header in which RequestIntake hands on a method that evhttp has no name for
 */
#define RELAY_METHOD "Wheattiller-Method"

/** Longest request id that is accepted, in bytes */
#define RELAY_ID_MAX 128

/** Bytes by which the head of a message between two routers may be longer than
 * the one that is passed on: a few headers, and a blank in each line */
#define RELAY_ADDED_BYTES 1024
/** Lines that it may have more */
#define RELAY_ADDED_LINES 8

/**
 * struct RelayPart_t - one part of a prompt that other requests may share
 * @id: identity of the part
 * @tokens: length of the part
 */
typedef struct {
    guint64 id;
    guint tokens;
} RelayPart_t;

/**
 * struct RelayRequest_t - the parsed head of a caller's request; strings other
 * than @path point into the head
 * @id: request id, chosen by the caller
 * @host: value of the Host header
 * @path: path without the query
 * @key: the caller's key, or NULL
 * @wait_ms: how long the caller waits, 0 if not stated
 * @model: requested model, or NULL
 * @has_tokens: the head states the lengths of prompt and answer
 * @prompt_tokens: length of the prompt, 0 if unknown
 * @answer_tokens: longest answer, 0 if unknown
 * @parts: parts of the prompt, in order
 * @part_count: number of @parts
 * @part_ids: identities of the parts, in order; more than @parts may have
 * @part_id_count: number of @part_ids
 * @last_event_id: last event of the stream that the caller has, or NULL
 * @resumes: id of the caller's request that brought the first event of the
 *     stream, or NULL
 */
typedef struct {
    const char *id;
    const char *host;
    GString *path;
    const char *key;
    gint64 wait_ms;
    const char *model;
    gboolean has_tokens;
    guint prompt_tokens;
    guint answer_tokens;
    RelayPart_t parts[PROMPT_LEVELS_MAX];
    guint part_count;
    guint64 part_ids[PROMPT_PARTS_MAX];
    guint part_id_count;
    const char *last_event_id;
    const char *resumes;
} RelayRequest_t;

/**
 * struct RelayCallerForm_t - wire format towards callers
 * @read_request: parse a request's head; FALSE and an error for an invalid
 *     header
 * @clear_request: free what @read_request allocated
 * @ready_path: path of the load balancer's readiness check
 * @id_header: response header that carries the request id
 * @key_header: request header that carries the caller's key
 * @rules: rules for the headers of a request
 * @kept_headers: of a request, which are read and passed on whatever its
 *     Connection field names; ended by NULL
 */
typedef struct {
    gboolean (*read_request)(struct evhttp_request *http, RelayRequest_t *out,
                             GError **error);
    void (*clear_request)(RelayRequest_t *request);
    const char *ready_path;
    const char *id_header;
    const char *key_header;
    HeaderRules_t rules;
    const char *const *kept_headers;
} RelayCallerForm_t;

/**
 * struct RelayOrder_t - values that this router adds to the caller's head for
 * an upstream
 * @instance: name of the upstream that the request is meant for
 * @customer: name of the request's customer, or NULL
 * @wait_ms: time left until the caller's deadline
 * @rank: priority, 0 is served first
 * @weights: version of weights that the request must run on, or NULL
 * @salt: cache salt, which selects the cached prefixes that the request may
 *     use, or NULL
 * @fetch_from: address to fetch cached prefixes from, or NULL
 * @save_to: address to save computed prefixes at, or NULL
 * @last_event_id: continue the stream after this event, or NULL
 * @forward_proof: shows another router that this one sends the request; NULL
 *     for an upstream
 */
typedef struct {
    const char *instance;
    const char *customer;
    gint64 wait_ms;
    guint rank;
    const char *weights;
    const char *salt;
    const char *fetch_from;
    const char *save_to;
    const char *last_event_id;
    const char *forward_proof;
} RelayOrder_t;

/**
 * struct RelayHead_t - the parsed head of an upstream's answer
 * @status: HTTP status
 * @framing: how the end of the body is marked; set by the attempt
 * @matches_request: the head carries the request's id
 * @has_signature: the head carries the upstream's signature
 * @not_run: the upstream states that it did not run the request
 * @refuses_service: it is a router, and reaches no upstream of the request's
 *     service
 * @is_unproven: callers take the status as a statement that the request did
 *     not run, but the upstream does not state it
 * @is_contradictory: the head states that the request did not run, but its
 *     status is not that of a refusal
 * @other_instance: another upstream has taken over the address
 * @is_from_upstream: nothing in the head shows that another upstream answered
 * @weights: version of weights that the request ran on, or NULL; points into
 *     the headers, that of an attempt to its copy
 * @notice: what the answer states about its upstream
 */
typedef struct {
    int status;
    BodyFraming_t framing;
    gboolean matches_request;
    gboolean has_signature;
    gboolean not_run;
    gboolean refuses_service;
    gboolean is_unproven;
    gboolean is_contradictory;
    gboolean other_instance;
    gboolean is_from_upstream;
    const char *weights;
    UpstreamNotice_t notice;
} RelayHead_t;

/**
 * struct RelayUpstreamForm_t - wire format towards upstreams
 * @notices: headers of answers that make a statement about their upstream
 * @write_head: write the head for an upstream from the caller's headers and
 *     the order
 * @read_head: parse the head of an answer
 * @kept_headers: of answers, which are passed on whatever their Connection
 *     field names; ended by NULL
 */
typedef struct {
    UpstreamNoticeForm_t notices;
    void (*write_head)(const struct evkeyvalq *caller,
                       const RelayOrder_t *order, struct evkeyvalq *out);
    void (*read_head)(int status, const struct evkeyvalq *headers,
                      const char *request_id, const char *instance,
                      RelayHead_t *out);
    const char *const *kept_headers;
} RelayUpstreamForm_t;

#endif
