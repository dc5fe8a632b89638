#ifndef HEADER_RelayForm
#define HEADER_RelayForm
/**
 * DOC: RelayForm
 *
 * How relayed requests look on a platform's wire: what a caller's head
 * says, what an upstream must be told, and what its answer proves. Bodies
 * pass through unchanged. A platform's form is two tables of functions.
 */
#include <event2/http.h>
#include <glib.h>

#include "HeaderCheck.h"
#include "Prompt.h"
#include "UpstreamNotice.h"

/** Longest id of a request that is taken */
#define RELAY_ID_MAX 128

/**
 * struct RelayPart_t - one part of a prompt that other requests may share
 * @id: identity of the part
 * @tokens: its length
 */
typedef struct {
    guint64 id;
    guint tokens;
} RelayPart_t;

/**
 * struct RelayRequest_t - what a caller's head says; texts are the head's
 * @id: the request's id, as the caller chose it
 * @host: of the Host header
 * @path: without its query
 * @key: the caller's key, or NULL
 * @wait_ms: how long the caller waits, or 0 where it does not say
 * @model: that it asks for, or NULL
 * @has_tokens: it says how long prompt and answer are
 * @prompt_tokens: length of the prompt, 0 where unknown
 * @answer_tokens: longest answer, 0 where unknown
 * @parts: of the prompt, in order
 * @part_count: how many
 * @last_event_id: that the caller has of the stream, or NULL
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
    const char *last_event_id;
} RelayRequest_t;

/**
 * struct RelayCallerForm_t - the callers' side
 * @read_request: fill from a request's head; FALSE where a header is at fault
 * @clear_request: free what it holds
 * @ready_path: where the balancer asks whether this router is ready
 * @id_header: header that carries the request's id in answers
 * @rules: for what a request's head may hold
 */
typedef struct {
    gboolean (*read_request)(struct evhttp_request *http, RelayRequest_t *out,
                             GError **error);
    void (*clear_request)(RelayRequest_t *request);
    const char *ready_path;
    const char *id_header;
    HeaderRules_t rules;
} RelayCallerForm_t;

/**
 * struct RelayOrder_t - what an upstream is told besides the caller's head
 * @instance: name of the upstream that it is meant for
 * @customer: whose request it is, or NULL
 * @wait_ms: what is left of the caller's time
 * @rank: urgency, 0 first
 * @weights: version of weights it must run on, or NULL
 * @salt: names the cached prefixes that it may use, or NULL
 * @fetch_from: address to take cached prefixes from, or NULL
 * @save_to: address to keep them at, or NULL
 * @last_event_id: go on behind this event, or NULL
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
} RelayOrder_t;

/**
 * struct RelayHead_t - what the head of an upstream's answer proves
 * @status: HTTP status
 * @names_request: it carries the request's id
 * @sealed: it carries the upstream's signature
 * @not_run: the upstream says that it did not run the request
 * @other_instance: another upstream has the address
 * @is_own: it comes from the upstream that was asked, as far as it tells
 * @weights: version that it ran on; a text of the head, or NULL
 * @notice: what it says of the upstream
 */
typedef struct {
    int status;
    gboolean names_request;
    gboolean sealed;
    gboolean not_run;
    gboolean other_instance;
    gboolean is_own;
    const char *weights;
    UpstreamNotice_t notice;
} RelayHead_t;

/**
 * struct RelayUpstreamForm_t - the upstreams' side
 * @notices: how answers say something of their upstream
 * @write_head: the caller's headers and the order, as the upstream reads them
 * @read_head: what an answer's head proves
 */
typedef struct {
    UpstreamNoticeForm_t notices;
    void (*write_head)(const struct evkeyvalq *caller,
                       const RelayOrder_t *order, struct evkeyvalq *out);
    void (*read_head)(int status, const struct evkeyvalq *headers,
                      const char *request_id, const char *instance,
                      RelayHead_t *out);
} RelayUpstreamForm_t;

#endif
