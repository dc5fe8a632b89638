#include "OperatorCommands.h"

#include "Clock.h"
#include "Log.h"
#include "Problem.h"

#define COMMAND_ID_MIN 8
#define COMMAND_ID_MAX 64

typedef struct {
    Context_t *context;
    Wt__ConfigRecord *record;
    Wt__ApplyResponse_Closure closure;
    void *closure_data;
} PendingApply_t;

static Context_t *the_context;

static const struct {
    Wt__ErrorCode code;
    const char *message;
} outcomes[] = {
    [COMMAND_APPLIED] = {WT__ERROR_CODE__ERROR_NONE, ""},
    [COMMAND_CONFLICT] = {WT__ERROR_CODE__ERROR_CONFLICT,
                          "another change came first"},
    [COMMAND_NOT_APPENDED] = {WT__ERROR_CODE__ERROR_LOG_UNAVAILABLE,
                              "the log was not reached; nothing was changed"},
    [COMMAND_UNKNOWN] = {WT__ERROR_CODE__ERROR_OUTCOME_UNKNOWN,
                         "the change may have been applied or may yet be; "
                         "query CommandResult with the same command_id"},
    [COMMAND_LOG_LOST_RECORDS] =
        {WT__ERROR_CODE__ERROR_LOG_WENT_BACK,
         "the log has lost records that are in force"},
};

static void
fill_result(const Context_t *context, const Wt__Change *change, gboolean taken,
            Wt__ChangeResult *result)
{
    ObjectKind_t kind = OBJECT_PRIORITY;
    const Object_t *object = NULL;
    if (Declarations_parseKind(change->kind, &kind)) {
        object = ConfigStore_find(context->config, kind, change->name);
    }
    wt__change_result__init(result);
    result->kind = change->kind;
    result->name = change->name;
    result->taken = taken;
    result->revision = object ? object->revision : 0;
}

void
OperatorCommands_sendOutcome(const Context_t *context, CommandResult_t end,
                             guint64 revision, Wt__Change **changes,
                             gsize change_count,
                             Wt__ApplyResponse_Closure closure,
                             void *closure_data)
{
    Wt__Error error = WT__ERROR__INIT;
    Wt__ApplyResponse response = WT__APPLY_RESPONSE__INIT;
    error.code = outcomes[end].code;
    error.message = (char *)outcomes[end].message;
    response.error = &error;
    response.revision = revision;
    g_autofree Wt__ChangeResult *results =
        g_new0(Wt__ChangeResult, change_count + 1);
    g_autofree Wt__ChangeResult **list =
        g_new0(Wt__ChangeResult *, change_count + 1);
    for (gsize i = 0; i < change_count; i++) {
        fill_result(context, changes[i], end == COMMAND_APPLIED, &results[i]);
        list[i] = &results[i];
    }
    response.n_results = change_count;
    response.results = list;
    closure(&response, closure_data);
}

static void
on_command_done(CommandResult_t end, guint64 revision, void *data)
{
    PendingApply_t *pending = data;
    Log_begin(LOG_LEVEL_INFO, "command_done");
    Log_number("end", end);
    Log_number("revision", (gint64)revision);
    Log_number("changes", (gint64)pending->record->n_changes);
    Log_end();
    OperatorCommands_sendOutcome(
        pending->context, end, revision, pending->record->changes,
        pending->record->n_changes, pending->closure, pending->closure_data);
    wt__config_record__free_unpacked(pending->record, NULL);
    g_free(pending);
}

static void
answer_problems(const GPtrArray *problems, Wt__ApplyResponse_Closure closure,
                void *closure_data)
{
    Wt__Error error = WT__ERROR__INIT;
    Wt__ApplyResponse response = WT__APPLY_RESPONSE__INIT;
    g_autofree Wt__Problem *messages = g_new0(Wt__Problem, problems->len + 1);
    g_autofree Wt__Problem **list = g_new0(Wt__Problem *, problems->len + 1);
    for (guint i = 0; i < problems->len; i++) {
        const Problem_t *problem = g_ptr_array_index(problems, i);
        wt__problem__init(&messages[i]);
        messages[i].kind = (char *)Problem_kindName(problem->kind);
        messages[i].name = problem->section->str;
        messages[i].key = problem->key->str;
        messages[i].reason = problem->detail->str;
        list[i] = &messages[i];
    }
    error.code = WT__ERROR_CODE__ERROR_INVALID_DECLARATION;
    error.message = (char *)"a declaration failed its checks";
    error.n_problems = problems->len;
    error.problems = list;
    response.error = &error;
    closure(&response, closure_data);
}

static gboolean
check_request(const Wt__ApplyRequest *input, GPtrArray *problems)
{
    gboolean id_fits = input->command_id.len >= COMMAND_ID_MIN &&
                       input->command_id.len <= COMMAND_ID_MAX;
    if (!id_fits) {
        Problems_add(problems, PROBLEM_BAD_VALUE, "-", 0, NULL, "command_id",
                     "expected 8 to 64 bytes");
    }
    if (input->n_changes == 0) {
        Problems_add(problems, PROBLEM_MISSING_KEY, "-", 0, NULL, "changes",
                     "expected at least one");
    }
    for (size_t i = 0; i < input->n_changes; i++) {
        ConfigStore_checkChange(input->changes[i], problems);
    }
    return problems->len == 0;
}

static GBytes *
pack_record(const Wt__ApplyRequest *input)
{
    Wt__ConfigRecord record = WT__CONFIG_RECORD__INIT;
    record.command_id = input->command_id;
    record.n_changes = input->n_changes;
    record.changes = input->changes;
    record.appended_ms = Clock_wallMs();
    gsize size = wt__config_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__config_record__pack(&record, bytes);
    return g_bytes_new_take(bytes, size);
}

/* Refuses a command whose packed record cannot be decoded again. protobuf-c
 * preserves unknown fields, but packs one of number 0 in a form that no router
 * could decode. */
static void
refuse_record(GPtrArray *problems, Wt__ApplyResponse_Closure closure,
              void *closure_data)
{
    Problems_add(problems, PROBLEM_SYNTAX, "-", 0, NULL, "changes",
                 "contains a field that cannot be stored");
    answer_problems(problems, closure, closure_data);
}

/* Takes ownership of @decoded. */
static void
submit_record(const Wt__ApplyRequest *input, GBytes *record,
              Wt__ConfigRecord *decoded, Wt__ApplyResponse_Closure closure,
              void *closure_data)
{
    GBytes *id = g_bytes_new(input->command_id.data, input->command_id.len);
    PendingApply_t *pending = g_new0(PendingApply_t, 1);
    pending->context = the_context;
    pending->record = decoded;
    pending->closure = closure;
    pending->closure_data = closure_data;
    ConfigLog_submit(the_context->config_log, id, record, on_command_done,
                     pending);
    g_bytes_unref(id);
}

static void
command_apply(Wt__OperatorCommand_Service *service,
              const Wt__ApplyRequest *input, Wt__ApplyResponse_Closure closure,
              void *closure_data)
{
    (void)service;
    g_autoptr(GPtrArray) problems = Problems_create();
    if (!check_request(input, problems)) {
        answer_problems(problems, closure, closure_data);
        return;
    }
    if (!the_context->config_log) {
        /* A platform with routes stores the configuration itself. */
        OperatorCommands_sendOutcome(the_context, COMMAND_NOT_APPENDED, 0,
                                     input->changes, input->n_changes, closure,
                                     closure_data);
        return;
    }
    g_autoptr(GBytes) record = pack_record(input);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(record, &size);
    Wt__ConfigRecord *decoded = wt__config_record__unpack(NULL, size, bytes);
    if (decoded) {
        submit_record(input, record, decoded, closure, closure_data);
    }
    else {
        refuse_record(problems, closure, closure_data);
    }
}

static void
command_release(Wt__OperatorCommand_Service *service,
                const Wt__ReleaseRequest *input,
                Wt__ReleaseResponse_Closure closure, void *closure_data)
{
    (void)service;
    Wt__Error error = WT__ERROR__INIT;
    Wt__ReleaseResponse response = WT__RELEASE_RESPONSE__INIT;
    RequestDigest_t digest;
    if (!RequestDigest_read(input->digest, &digest)) {
        error.code = WT__ERROR_CODE__ERROR_BAD_REQUEST;
        error.message = (char *)"a digest has 32 hex digits";
        response.error = &error;
    }
    else if (!CrashGuard_release(the_context->crashes, &digest)) {
        error.code = WT__ERROR_CODE__ERROR_NOT_FOUND;
        error.message = (char *)"no crash is recorded for this request";
        response.error = &error;
    }
    response.digest = input->digest;
    closure(&response, closure_data);
}

static Wt__OperatorCommand_Service the_service =
    WT__OPERATOR_COMMAND__INIT(command_);

ProtobufCService *
OperatorCommands_service(Context_t *context)
{
    the_context = context;
    return &the_service.base;
}
