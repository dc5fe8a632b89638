#include "ClientCommands.h"

#include <stdio.h>
#include <string.h>

#include "Clock.h"
#include "Declarations.h"
#include "OperatorClient.h"
#include "Plan.h"
#include "Problem.h"
#include "operator.pb-c.h"

/* A command is stored as one log record, so larger plans are split. */
#define CHANGES_PER_COMMAND 64
#define POLL_INTERVAL_US 100000UL
#define WAIT_MAX_MS 60000
#define COMMAND_ID_BYTES 64

static OperatorClient_t *
create_client(const ClientOptions_t *options)
{
    return OperatorClient_create(options->routers, options->key,
                                 options->timeout_ms);
}

static ExitCode_t
report_call_error(const GError *error)
{
    fprintf(stderr, "wheattiller: %s\n", error->message);
    return EXIT_UNREACHABLE;
}

static void
print_problems(const Wt__Error *error)
{
    for (size_t i = 0; i < error->n_problems; i++) {
        const Wt__Problem *problem = error->problems[i];
        fprintf(stderr, "wheattiller: [%s] %s: %s: %s\n", problem->name,
                problem->key, problem->kind, problem->reason);
    }
}

static ExitCode_t
report_response_error(const Wt__Error *error)
{
    if (!error || error->code == WT__ERROR_CODE__ERROR_NONE) {
        return EXIT_OK;
    }
    fprintf(stderr, "wheattiller: %s\n", error->message);
    print_problems(error);
    switch (error->code) {
    case WT__ERROR_CODE__ERROR_CONFLICT:
        return EXIT_CONFLICT;
    case WT__ERROR_CODE__ERROR_LOG_UNAVAILABLE:
        return EXIT_UNREACHABLE;
    case WT__ERROR_CODE__ERROR_OUTCOME_UNKNOWN:
        return EXIT_UNKNOWN;
    default:
        return EXIT_INVALID;
    }
}

/* In every response message of operator.proto, field 1 is the error. */
static const Wt__Error *
response_error(const ProtobufCMessage *message)
{
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field(message->descriptor, 1);
    return *(Wt__Error *const *)((const char *)message + field->offset);
}

/* Calls one method and prints its response without further processing.
 * @router: index of the router, or -1 for the first that is reachable */
static ExitCode_t
call_and_print(OperatorClient_t *client, gint router,
               const ClientOptions_t *options, const char *method,
               const ProtobufCMessage *request,
               const ProtobufCMessageDescriptor *response)
{
    g_autoptr(GError) error = NULL;
    ProtobufCMessage *answer =
        OperatorClient_call(client, router, method, request, response, &error);
    if (!answer) {
        return report_call_error(error);
    }
    ExitCode_t code = report_response_error(response_error(answer));
    if (code == EXIT_OK) {
        Output_print(answer, options->output);
    }
    protobuf_c_message_free_unpacked(answer, NULL);
    return code;
}

static ExitCode_t
call_any_router(const ClientOptions_t *options, const char *method,
                const ProtobufCMessage *request,
                const ProtobufCMessageDescriptor *response)
{
    OperatorClient_t *client = create_client(options);
    ExitCode_t code =
        call_and_print(client, -1, options, method, request, response);
    OperatorClient_destroy(client);
    return code;
}

ExitCode_t
ClientCommands_get(const ClientOptions_t *options)
{
    Wt__GetRequest request = WT__GET_REQUEST__INIT;
    char **args = options->args;
    request.kind = args[0] ? args[0] : (char *)"";
    request.name = args[0] && args[1] ? args[1] : (char *)"";
    return call_any_router(options, "OperatorQuery/Get", &request.base,
                           &wt__get_response__descriptor);
}

ExitCode_t
ClientCommands_status(const ClientOptions_t *options)
{
    Wt__StatusRequest request = WT__STATUS_REQUEST__INIT;
    OperatorClient_t *client = create_client(options);
    ExitCode_t worst_code = EXIT_OK;
    for (guint i = 0; i < OperatorClient_countRouters(client); i++) {
        ExitCode_t code =
            call_and_print(client, (gint)i, options, "OperatorQuery/Status",
                           &request.base, &wt__status_response__descriptor);
        worst_code = MAX(worst_code, code);
    }
    OperatorClient_destroy(client);
    return worst_code;
}

ExitCode_t
ClientCommands_counters(const ClientOptions_t *options)
{
    Wt__CountersRequest request = WT__COUNTERS_REQUEST__INIT;
    request.prefix = options->args[0] ? options->args[0] : (char *)"";
    return call_any_router(options, "OperatorQuery/Counters", &request.base,
                           &wt__counters_response__descriptor);
}

ExitCode_t
ClientCommands_explain(const ClientOptions_t *options)
{
    Wt__ExplainRequest request = WT__EXPLAIN_REQUEST__INIT;
    if (!options->args[0]) {
        fputs("wheattiller: explain needs the id of a request\n", stderr);
        return EXIT_USAGE;
    }
    request.request_id = options->args[0];
    OperatorClient_t *client = create_client(options);
    ExitCode_t code = EXIT_INVALID;
    for (guint i = 0; i < OperatorClient_countRouters(client); i++) {
        code =
            call_and_print(client, (gint)i, options, "OperatorQuery/Explain",
                           &request.base, &wt__explain_response__descriptor);
        if (code == EXIT_OK) {
            break;
        }
    }
    OperatorClient_destroy(client);
    return code;
}

ExitCode_t
ClientCommands_crashes(const ClientOptions_t *options)
{
    Wt__CrashesRequest request = WT__CRASHES_REQUEST__INIT;
    return call_any_router(options, "OperatorQuery/Crashes", &request.base,
                           &wt__crashes_response__descriptor);
}

ExitCode_t
ClientCommands_release(const ClientOptions_t *options)
{
    Wt__ReleaseRequest request = WT__RELEASE_REQUEST__INIT;
    if (!options->args[0]) {
        fputs("wheattiller: release needs the digest of a request\n", stderr);
        return EXIT_USAGE;
    }
    request.digest = options->args[0];
    return call_any_router(options, "OperatorCommand/Release", &request.base,
                           &wt__release_response__descriptor);
}

static Wt__ApplyResponse *
query_result(OperatorClient_t *client, ProtobufCBinaryData id, GError **error)
{
    Wt__CommandResultRequest request = WT__COMMAND_RESULT_REQUEST__INIT;
    request.command_id = id;
    return (Wt__ApplyResponse *)OperatorClient_call(
        client, -1, "OperatorQuery/CommandResult", &request.base,
        &wt__apply_response__descriptor, error);
}

ExitCode_t
ClientCommands_result(const ClientOptions_t *options)
{
    const char *hex = options->args[0];
    size_t digits = hex ? strlen(hex) : 0;
    guint8 id[COMMAND_ID_BYTES] = {0};
    if (digits == 0 || digits % 2 != 0 || digits / 2 > sizeof(id)) {
        fputs("wheattiller: result needs the id of a command\n", stderr);
        return EXIT_USAGE;
    }
    for (size_t i = 0; i < digits / 2; i++) {
        id[i] = (guint8)(g_ascii_xdigit_value(hex[2 * i]) * 16 +
                         g_ascii_xdigit_value(hex[2 * i + 1]));
    }
    Wt__CommandResultRequest request = WT__COMMAND_RESULT_REQUEST__INIT;
    request.command_id = (ProtobufCBinaryData){digits / 2, id};
    return call_any_router(options, "OperatorQuery/CommandResult",
                           &request.base, &wt__apply_response__descriptor);
}

static GPtrArray *
load_files(const ClientOptions_t *options)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    GPtrArray *declared = Declarations_load(options->args, problems);
    for (guint i = 0; i < problems->len; i++) {
        GString *text = Problem_format(g_ptr_array_index(problems, i));
        fprintf(stderr, "%s\n", text->str);
        g_string_free(text, TRUE);
    }
    if (problems->len > 0) {
        g_clear_pointer(&declared, g_ptr_array_unref);
    }
    return declared;
}

static GPtrArray *
create_plan(OperatorClient_t *client, const ClientOptions_t *options,
            const GPtrArray *declared, ExitCode_t *code)
{
    g_autoptr(GError) error = NULL;
    Wt__GetRequest request = WT__GET_REQUEST__INIT;
    Wt__GetResponse *answer = (Wt__GetResponse *)OperatorClient_call(
        client, -1, "OperatorQuery/Get", &request.base,
        &wt__get_response__descriptor, &error);
    if (!answer) {
        *code = report_call_error(error);
        return NULL;
    }
    *code = report_response_error(answer->error);
    GPtrArray *steps = NULL;
    if (*code == EXIT_OK) {
        steps = Plan_create(declared, answer, options->prune);
    }
    wt__get_response__free_unpacked(answer, NULL);
    return steps;
}

static void
print_step(const PlanStep_t *step, guint64 revision)
{
    printf("%s %s %s base=%" G_GUINT64_FORMAT, Plan_actionName(step->action),
           step->kind->str, step->name->str, step->base_revision);
    if (revision > 0) {
        printf(" revision=%" G_GUINT64_FORMAT, revision);
    }
    putchar('\n');
}

/* Polls while the outcome is unknown, for at most WAIT_MAX_MS. */
static Wt__ApplyResponse *
await_outcome(OperatorClient_t *client, Wt__ApplyResponse *answer,
              ProtobufCBinaryData id)
{
    gint64 deadline_ms = Clock_nowMs() + WAIT_MAX_MS;
    while (answer && answer->error &&
           answer->error->code == WT__ERROR_CODE__ERROR_OUTCOME_UNKNOWN &&
           Clock_nowMs() < deadline_ms) {
        wt__apply_response__free_unpacked(answer, NULL);
        g_usleep(POLL_INTERVAL_US);
        answer = query_result(client, id, NULL);
    }
    return answer;
}

static void
print_command_id(ProtobufCBinaryData id)
{
    fputs("wheattiller: ask again with: wheattiller result ", stderr);
    for (size_t i = 0; i < id.len; i++) {
        fprintf(stderr, "%02x", id.data[i]);
    }
    fputc('\n', stderr);
}

static ExitCode_t
apply_batch(OperatorClient_t *client, const GPtrArray *steps, guint first,
            guint count, guint64 *revision)
{
    g_autoptr(GError) error = NULL;
    Wt__ApplyRequest *request = Plan_createRequest(steps, first, count);
    Wt__ApplyResponse *answer = (Wt__ApplyResponse *)OperatorClient_call(
        client, -1, "OperatorCommand/Apply", &request->base,
        &wt__apply_response__descriptor, &error);
    answer = await_outcome(client, answer, request->command_id);
    ExitCode_t code = answer ? report_response_error(answer->error)
                             : report_call_error(error);
    if (code == EXIT_UNKNOWN || !answer) {
        print_command_id(request->command_id);
    }
    if (code == EXIT_OK) {
        *revision = answer->revision;
        for (guint i = 0; i < count; i++) {
            print_step(g_ptr_array_index(steps, first + i), *revision);
        }
    }
    if (answer) {
        wt__apply_response__free_unpacked(answer, NULL);
    }
    wt__apply_request__free_unpacked(request, NULL);
    return code;
}

static gboolean
is_in_force(OperatorClient_t *client, guint router, guint64 revision)
{
    Wt__StatusRequest request = WT__STATUS_REQUEST__INIT;
    Wt__StatusResponse *answer = (Wt__StatusResponse *)OperatorClient_call(
        client, (gint)router, "OperatorQuery/Status", &request.base,
        &wt__status_response__descriptor, NULL);
    gboolean in_force =
        answer && answer->router && answer->router->fold_offset >= revision;
    if (answer) {
        wt__status_response__free_unpacked(answer, NULL);
    }
    return in_force;
}

static ExitCode_t
wait_in_force(OperatorClient_t *client, guint64 revision)
{
    gint64 deadline_ms = Clock_nowMs() + WAIT_MAX_MS;
    guint router = 0;
    while (router < OperatorClient_countRouters(client)) {
        if (is_in_force(client, router, revision)) {
            router++;
            continue;
        }
        if (Clock_nowMs() >= deadline_ms) {
            fputs("wheattiller: not yet in force on every router\n", stderr);
            return EXIT_UNKNOWN;
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return EXIT_OK;
}

static ExitCode_t
apply_plan(OperatorClient_t *client, const ClientOptions_t *options,
           const GPtrArray *steps)
{
    guint64 revision = 0;
    ExitCode_t code = EXIT_OK;
    for (guint i = 0; i < steps->len && code == EXIT_OK;
         i += CHANGES_PER_COMMAND) {
        guint count = MIN(CHANGES_PER_COMMAND, steps->len - i);
        code = apply_batch(client, steps, i, count, &revision);
    }
    if (code == EXIT_OK && options->wait) {
        code = wait_in_force(client, revision);
    }
    return code;
}

static ExitCode_t
plan_or_apply(const ClientOptions_t *options, gboolean apply)
{
    if (!options->args[0]) {
        fputs("wheattiller: name files or directories\n", stderr);
        return EXIT_USAGE;
    }
    GPtrArray *declared = load_files(options);
    if (!declared) {
        return EXIT_INVALID;
    }
    OperatorClient_t *client = create_client(options);
    ExitCode_t code = EXIT_OK;
    GPtrArray *steps = create_plan(client, options, declared, &code);
    for (guint i = 0; steps && !apply && i < steps->len; i++) {
        print_step(g_ptr_array_index(steps, i), 0);
    }
    if (steps && apply) {
        code = apply_plan(client, options, steps);
    }
    if (steps) {
        printf("%u %s\n", steps->len, steps->len == 1 ? "change" : "changes");
        g_ptr_array_unref(steps);
    }
    OperatorClient_destroy(client);
    g_ptr_array_unref(declared);
    return code;
}

ExitCode_t
ClientCommands_plan(const ClientOptions_t *options)
{
    return plan_or_apply(options, FALSE);
}

ExitCode_t
ClientCommands_apply(const ClientOptions_t *options)
{
    return plan_or_apply(options, TRUE);
}
