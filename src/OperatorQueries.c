#include "OperatorQueries.h"

#include "Clock.h"
#include "OperatorCommands.h"
#include "operator.pb-c.h"

#define DIGEST_BYTES 16

static Context_t *the_context;

/* An arena owns the memory that a response points to; it is freed after the
 * response was sent. */
static GPtrArray *
arena_create(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

static gpointer
arena_alloc(GPtrArray *arena, gsize size)
{
    gpointer block = g_malloc0(size);
    g_ptr_array_add(arena, block);
    return block;
}

static Wt__Error *
create_error(GPtrArray *arena, Wt__ErrorCode code, const char *message)
{
    Wt__Error *error = arena_alloc(arena, sizeof(*error));
    wt__error__init(error);
    error->code = code;
    error->message = (char *)message;
    return error;
}

static void
query_command_result(Wt__OperatorQuery_Service *service,
                     const Wt__CommandResultRequest *input,
                     Wt__ApplyResponse_Closure closure, void *closure_data)
{
    (void)service;
    GBytes *id = g_bytes_new(input->command_id.data, input->command_id.len);
    const ConfigOutcome_t *outcome =
        ConfigStore_findOutcome(the_context->config, id);
    g_bytes_unref(id);
    CommandResult_t end = COMMAND_UNKNOWN;
    if (outcome) {
        end = outcome->taken ? COMMAND_APPLIED : COMMAND_CONFLICT;
    }
    OperatorCommands_sendOutcome(the_context, end,
                                 outcome ? outcome->revision : 0, NULL, 0,
                                 closure, closure_data);
}

static Wt__DeclaredObject *
create_object(GPtrArray *arena, const Object_t *object)
{
    guint count = g_hash_table_size(object->fields);
    Wt__DeclaredObject *message = arena_alloc(arena, sizeof(*message));
    wt__declared_object__init(message);
    message->kind = (char *)Declarations_kindName(object->kind);
    message->name = object->name->str;
    message->revision = object->revision;
    message->fields =
        arena_alloc(arena, (count + 1) * sizeof(*message->fields));
    GList *names = g_list_sort(g_hash_table_get_keys(object->fields),
                               (GCompareFunc)g_strcmp0);
    for (GList *at = names; at; at = at->next) {
        Wt__Field *field = arena_alloc(arena, sizeof(*field));
        wt__field__init(field);
        field->key = at->data;
        field->value = g_hash_table_lookup(object->fields, at->data);
        message->fields[message->n_fields++] = field;
    }
    g_list_free(names);
    return message;
}

static void
collect_objects(GPtrArray *arena, GPtrArray *messages,
                const Wt__GetRequest *input)
{
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        const char *kind_name = Declarations_kindName((ObjectKind_t)kind);
        if (*input->kind && g_strcmp0(kind_name, input->kind) != 0) {
            continue;
        }
        g_autoptr(GPtrArray) list =
            ConfigStore_list(the_context->config, (ObjectKind_t)kind);
        for (guint i = 0; i < list->len; i++) {
            const Object_t *object = g_ptr_array_index(list, i);
            if (!*input->name ||
                g_strcmp0(object->name->str, input->name) == 0) {
                g_ptr_array_add(messages, create_object(arena, object));
            }
        }
    }
}

static void
query_get(Wt__OperatorQuery_Service *service, const Wt__GetRequest *input,
          Wt__GetResponse_Closure closure, void *closure_data)
{
    (void)service;
    g_autoptr(GPtrArray) arena = arena_create();
    g_autoptr(GPtrArray) messages = g_ptr_array_new();
    collect_objects(arena, messages, input);
    Wt__GetResponse response = WT__GET_RESPONSE__INIT;
    response.fold_offset = ConfigStore_foldOffset(the_context->config);
    response.n_objects = messages->len;
    response.objects = (Wt__DeclaredObject **)messages->pdata;
    if (messages->len == 0 && *input->name) {
        response.error = create_error(arena, WT__ERROR_CODE__ERROR_NOT_FOUND,
                                      "no such object");
    }
    closure(&response, closure_data);
}

static Wt__UpstreamStatus *
create_upstream_status(GPtrArray *arena, const Upstream_t *upstream)
{
    Wt__UpstreamStatus *message = arena_alloc(arena, sizeof(*message));
    wt__upstream_status__init(message);
    char *address = g_strdup_printf("%s:%u", upstream->address.host,
                                    upstream->address.port);
    g_ptr_array_add(arena, address);
    message->name = upstream->name->str;
    message->hall = upstream->hall->str;
    message->address = address;
    message->incarnation = upstream->incarnation;
    message->state = (char *)Upstream_stateName(upstream, Clock_nowMs());
    message->in_flight = upstream->in_flight;
    message->reported_load = upstream->reported_running;
    message->weights_version = upstream->weights->str;
    return message;
}

static Wt__PeerStatus *
create_peer_status(GPtrArray *arena, const Member_t *member)
{
    Wt__PeerStatus *message = arena_alloc(arena, sizeof(*message));
    wt__peer_status__init(message);
    message->name = member->name->str;
    message->hall = member->hall->str;
    message->incarnation = member->incarnation;
    message->fold_offset = member->fold_offset;
    message->state = (char *)(member->leaving ? "leaving" : "live");
    message->linked = member->link != NULL;
    return message;
}

static gboolean
is_usable(void)
{
    return the_context->routes ? RouteTable_config(the_context->routes) != NULL
                               : ConfigStore_isUsable(the_context->config);
}

static void
fill_router(Wt__RouterStatus *router, guint8 digest[DIGEST_BYTES])
{
    const RouterSection_t *settings = &the_context->settings->router;
    ConfigStore_digest(the_context->config, digest);
    router->name = settings->name->str;
    router->hall = settings->hall->str;
    router->incarnation = the_context->incarnation;
    router->fold_offset = ConfigStore_foldOffset(the_context->config);
    router->digest.data = digest;
    router->digest.len = DIGEST_BYTES;
    router->ready = is_usable() && !the_context->stopping;
    /* A platform with routes has no declarations log. */
    router->log_reachable = the_context->config_log &&
                            ConfigLog_isReachable(the_context->config_log);
    router->open_requests = the_context->open_requests;
}

static void
query_status(Wt__OperatorQuery_Service *service,
             const Wt__StatusRequest *input,
             Wt__StatusResponse_Closure closure, void *closure_data)
{
    (void)service;
    (void)input;
    g_autoptr(GPtrArray) arena = arena_create();
    g_autoptr(GPtrArray) messages = g_ptr_array_new();
    Wt__RouterStatus router = WT__ROUTER_STATUS__INIT;
    guint8 digest[DIGEST_BYTES];
    fill_router(&router, digest);
    const GPtrArray *all = UpstreamSet_all(the_context->upstreams);
    for (guint i = 0; i < all->len; i++) {
        g_ptr_array_add(messages, create_upstream_status(
                                      arena, g_ptr_array_index(all, i)));
    }
    g_autoptr(GPtrArray) peers = g_ptr_array_new();
    const GPtrArray *members = Membership_members(the_context->membership);
    for (guint i = 0; i < members->len; i++) {
        g_ptr_array_add(
            peers, create_peer_status(arena, g_ptr_array_index(members, i)));
    }
    Wt__StatusResponse response = WT__STATUS_RESPONSE__INIT;
    response.n_peers = peers->len;
    response.peers = (Wt__PeerStatus **)peers->pdata;
    response.router = &router;
    response.n_upstreams = messages->len;
    response.upstreams = (Wt__UpstreamStatus **)messages->pdata;
    closure(&response, closure_data);
}

typedef struct {
    GPtrArray *arena;
    GPtrArray *messages;
} CounterList_t;

static void
collect_counter(const char *name, guint64 value, void *data)
{
    CounterList_t *list = data;
    Wt__Counter *message = arena_alloc(list->arena, sizeof(*message));
    wt__counter__init(message);
    message->name = g_strdup(name);
    g_ptr_array_add(list->arena, message->name);
    message->value = value;
    g_ptr_array_add(list->messages, message);
}

static void
query_counters(Wt__OperatorQuery_Service *service,
               const Wt__CountersRequest *input,
               Wt__CountersResponse_Closure closure, void *closure_data)
{
    (void)service;
    g_autoptr(GPtrArray) arena = arena_create();
    g_autoptr(GPtrArray) messages = g_ptr_array_new();
    CounterList_t list = {arena, messages};
    Counters_forEach(the_context->counters, input->prefix, collect_counter,
                     &list);
    Wt__CountersResponse response = WT__COUNTERS_RESPONSE__INIT;
    response.n_counters = messages->len;
    response.counters = (Wt__Counter **)messages->pdata;
    closure(&response, closure_data);
}

static Wt__AttemptTrace *
create_attempt_trace(GPtrArray *arena, const TraceAttempt_t *attempt)
{
    Wt__AttemptTrace *message = arena_alloc(arena, sizeof(*message));
    wt__attempt_trace__init(message);
    message->upstream = attempt->upstream->str;
    message->reason = (char *)attempt->reason;
    message->outcome = (char *)attempt->outcome;
    message->candidates = attempt->candidates;
    message->tokens = attempt->tokens;
    message->cached_tokens = attempt->cached_tokens;
    message->prompt_tokens = attempt->prompt_tokens;
    message->started_ms = (double)attempt->started_us / 1000.0;
    message->first_token_ms = (double)attempt->first_token_us / 1000.0;
    return message;
}

static void
query_explain(Wt__OperatorQuery_Service *service,
              const Wt__ExplainRequest *input,
              Wt__ExplainResponse_Closure closure, void *closure_data)
{
    (void)service;
    g_autoptr(GPtrArray) arena = arena_create();
    g_autoptr(GPtrArray) messages = g_ptr_array_new();
    Wt__ExplainResponse response = WT__EXPLAIN_RESPONSE__INIT;
    const Trace_t *trace = Traces_find(the_context->traces, input->request_id);
    if (!trace) {
        response.error =
            create_error(arena, WT__ERROR_CODE__ERROR_NOT_FOUND,
                         "this router has no finished request with this id");
        closure(&response, closure_data);
        return;
    }
    for (guint i = 0; i < trace->attempt_count; i++) {
        g_ptr_array_add(messages,
                        create_attempt_trace(arena, &trace->attempts[i]));
    }
    response.request_id = trace->request->str;
    response.customer = trace->customer->str;
    response.target = trace->target->str;
    response.outcome = (char *)trace->outcome;
    response.n_attempts = messages->len;
    response.attempts = (Wt__AttemptTrace **)messages->pdata;
    closure(&response, closure_data);
}

typedef struct {
    GPtrArray *arena;
    GPtrArray *messages;
} CrashList_t;

static void
collect_crash(CrashEntry_t *entry, void *data)
{
    CrashList_t *list = data;
    guint crashes = CrashEntry_countValid(entry);
    if (crashes == 0) {
        return;
    }
    Wt__CrashedRequest *message = arena_alloc(list->arena, sizeof(*message));
    wt__crashed_request__init(message);
    message->digest = arena_alloc(list->arena, REQUEST_DIGEST_TEXT + 1);
    RequestDigest_write(&entry->digest, message->digest);
    message->crashes = crashes;
    message->age_ms = Clock_nowMs() - entry->last_ms;
    message->hold_ms = CrashEntry_quarantineMs(entry, Clock_nowMs());
    message->held = message->hold_ms > 0;
    message->own = entry->is_local;
    g_ptr_array_add(list->messages, message);
}

static void
collect_part(PartEntry_t *entry, void *data)
{
    CrashList_t *list = data;
    if (!entry->is_held) {
        return;
    }
    Wt__CrashedRequest *message = arena_alloc(list->arena, sizeof(*message));
    wt__crashed_request__init(message);
    message->digest = arena_alloc(list->arena, REQUEST_DIGEST_TEXT + 1);
    message->part = arena_alloc(list->arena, PART_ID_TEXT + 1);
    RequestDigest_write(&entry->part.digest, message->digest);
    if (entry->part.id) {
        g_snprintf(message->part, PART_ID_TEXT + 1, "%" G_GINT64_MODIFIER "x",
                   entry->part.id);
    }
    message->is_part = TRUE;
    message->crashes = PartEntry_countValid(entry);
    message->age_ms = Clock_nowMs() - entry->last_ms;
    message->hold_ms = PartEntry_quarantineMs(entry, Clock_nowMs());
    message->held = message->hold_ms > 0;
    message->own = entry->is_local;
    g_ptr_array_add(list->messages, message);
}

static gint
compare_crashed(gconstpointer left, gconstpointer right)
{
    const Wt__CrashedRequest *a = *(Wt__CrashedRequest *const *)left;
    const Wt__CrashedRequest *b = *(Wt__CrashedRequest *const *)right;
    return (a->crashes < b->crashes) - (a->crashes > b->crashes);
}

static void
query_crashes(Wt__OperatorQuery_Service *service,
              const Wt__CrashesRequest *input,
              Wt__CrashesResponse_Closure closure, void *closure_data)
{
    (void)service;
    (void)input;
    g_autoptr(GPtrArray) arena = arena_create();
    g_autoptr(GPtrArray) messages = g_ptr_array_new();
    CrashList_t list = {arena, messages};
    CrashGuard_forEach(the_context->crashes, collect_crash, &list);
    CrashGuard_forEachPart(the_context->crashes, collect_part, &list);
    g_ptr_array_sort(messages, compare_crashed);
    Wt__CrashesResponse response = WT__CRASHES_RESPONSE__INIT;
    response.n_requests = messages->len;
    response.requests = (Wt__CrashedRequest **)messages->pdata;
    closure(&response, closure_data);
}

static Wt__OperatorQuery_Service the_service =
    WT__OPERATOR_QUERY__INIT(query_);

ProtobufCService *
OperatorQueries_service(Context_t *context)
{
    the_context = context;
    return &the_service.base;
}
