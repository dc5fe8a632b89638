#include "ClientCommands.h"

#include <stdio.h>
#include <string.h>

#include "Clock.h"
#include "Declarations.h"
#include "OperatorClient.h"
#include "Plan.h"
#include "Problem.h"
#include "operator.pb-c.h"

/* Changes of one command; each command is one record of the log. */
#define CHANGES_AT_ONCE 64
#define POLL_US 100000UL
#define WAIT_MAX_MS 60000
#define COMMAND_ID_BYTES 64

static OperatorClient_t *
client_of(const ClientOptions_t *options)
{
    return OperatorClient_create(options->routers, options->key,
                                 options->timeout_ms);
}

static ExitCode_t
report_error(const GError *error)
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
exit_of(const Wt__Error *error)
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

/* Every response has its error as field 1. */
static const Wt__Error *
error_of(const ProtobufCMessage *message)
{
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field(message->descriptor, 1);
    return *(Wt__Error *const *)((const char *)message + field->offset);
}

/* One call whose answer is shown as it is. */
static ExitCode_t
ask(OperatorClient_t *client, gint router, const ClientOptions_t *options,
    const char *method, const ProtobufCMessage *request,
    const ProtobufCMessageDescriptor *response)
{
    g_autoptr(GError) error = NULL;
    ProtobufCMessage *answer =
        OperatorClient_call(client, router, method, request, response, &error);
    if (!answer) {
        return report_error(error);
    }
    ExitCode_t code = exit_of(error_of(answer));
    if (code == EXIT_OK) {
        Output_print(answer, options->output);
    }
    protobuf_c_message_free_unpacked(answer, NULL);
    return code;
}

static ExitCode_t
ask_once(const ClientOptions_t *options, const char *method,
         const ProtobufCMessage *request,
         const ProtobufCMessageDescriptor *response)
{
    OperatorClient_t *client = client_of(options);
    ExitCode_t code = ask(client, -1, options, method, request, response);
    OperatorClient_destroy(client);
    return code;
}

ExitCode_t
ClientCommands_get(const ClientOptions_t *options)
{
    Wt__GetRequest request = WT__GET_REQUEST__INIT;
    char **words = options->words;
    request.kind = words[0] ? words[0] : (char *)"";
    request.name = words[0] && words[1] ? words[1] : (char *)"";
    return ask_once(options, "OperatorQuery/Get", &request.base,
                    &wt__get_response__descriptor);
}

ExitCode_t
ClientCommands_status(const ClientOptions_t *options)
{
    Wt__StatusRequest request = WT__STATUS_REQUEST__INIT;
    OperatorClient_t *client = client_of(options);
    ExitCode_t worst = EXIT_OK;
    for (guint i = 0; i < OperatorClient_routers(client); i++) {
        ExitCode_t code = ask(client, (gint)i, options, "OperatorQuery/Status",
                              &request.base, &wt__status_response__descriptor);
        worst = MAX(worst, code);
    }
    OperatorClient_destroy(client);
    return worst;
}

ExitCode_t
ClientCommands_counters(const ClientOptions_t *options)
{
    Wt__CountersRequest request = WT__COUNTERS_REQUEST__INIT;
    request.prefix = options->words[0] ? options->words[0] : (char *)"";
    return ask_once(options, "OperatorQuery/Counters", &request.base,
                    &wt__counters_response__descriptor);
}

ExitCode_t
ClientCommands_explain(const ClientOptions_t *options)
{
    Wt__ExplainRequest request = WT__EXPLAIN_REQUEST__INIT;
    if (!options->words[0]) {
        fputs("wheattiller: explain needs the id of a request\n", stderr);
        return EXIT_USAGE;
    }
    request.request_id = options->words[0];
    OperatorClient_t *client = client_of(options);
    ExitCode_t code = EXIT_INVALID;
    for (guint i = 0; i < OperatorClient_routers(client); i++) {
        code = ask(client, (gint)i, options, "OperatorQuery/Explain",
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
    return ask_once(options, "OperatorQuery/Crashes", &request.base,
                    &wt__crashes_response__descriptor);
}

ExitCode_t
ClientCommands_release(const ClientOptions_t *options)
{
    Wt__ReleaseRequest request = WT__RELEASE_REQUEST__INIT;
    if (!options->words[0]) {
        fputs("wheattiller: release needs the digest of a request\n", stderr);
        return EXIT_USAGE;
    }
    request.digest = options->words[0];
    return ask_once(options, "OperatorCommand/Release", &request.base,
                    &wt__release_response__descriptor);
}

static Wt__ApplyResponse *
ask_result(OperatorClient_t *client, ProtobufCBinaryData id, GError **error)
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
    const char *hex = options->words[0];
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
    return ask_once(options, "OperatorQuery/CommandResult", &request.base,
                    &wt__apply_response__descriptor);
}

static GPtrArray *
load_files(const ClientOptions_t *options)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    GPtrArray *declared = Declarations_load(options->words, problems);
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
make_plan(OperatorClient_t *client, const ClientOptions_t *options,
          const GPtrArray *declared, ExitCode_t *code)
{
    g_autoptr(GError) error = NULL;
    Wt__GetRequest request = WT__GET_REQUEST__INIT;
    Wt__GetResponse *answer = (Wt__GetResponse *)OperatorClient_call(
        client, -1, "OperatorQuery/Get", &request.base,
        &wt__get_response__descriptor, &error);
    if (!answer) {
        *code = report_error(error);
        return NULL;
    }
    *code = exit_of(answer->error);
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

/* Until the outcome is known or too much time has passed. */
static Wt__ApplyResponse *
settle(OperatorClient_t *client, Wt__ApplyResponse *answer,
       ProtobufCBinaryData id)
{
    gint64 until = Clock_nowMs() + WAIT_MAX_MS;
    while (answer && answer->error &&
           answer->error->code == WT__ERROR_CODE__ERROR_OUTCOME_UNKNOWN &&
           Clock_nowMs() < until) {
        wt__apply_response__free_unpacked(answer, NULL);
        g_usleep(POLL_US);
        answer = ask_result(client, id, NULL);
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
apply_part(OperatorClient_t *client, const GPtrArray *steps, guint first,
           guint count, guint64 *revision)
{
    g_autoptr(GError) error = NULL;
    Wt__ApplyRequest *request = Plan_request(steps, first, count);
    Wt__ApplyResponse *answer = (Wt__ApplyResponse *)OperatorClient_call(
        client, -1, "OperatorCommand/Apply", &request->base,
        &wt__apply_response__descriptor, &error);
    answer = settle(client, answer, request->command_id);
    ExitCode_t code = answer ? exit_of(answer->error) : report_error(error);
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
    gint64 until = Clock_nowMs() + WAIT_MAX_MS;
    guint router = 0;
    while (router < OperatorClient_routers(client)) {
        if (is_in_force(client, router, revision)) {
            router++;
            continue;
        }
        if (Clock_nowMs() >= until) {
            fputs("wheattiller: not yet in force on every router\n", stderr);
            return EXIT_UNKNOWN;
        }
        g_usleep(POLL_US);
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
         i += CHANGES_AT_ONCE) {
        guint count = MIN(CHANGES_AT_ONCE, steps->len - i);
        code = apply_part(client, steps, i, count, &revision);
    }
    if (code == EXIT_OK && options->wait) {
        code = wait_in_force(client, revision);
    }
    return code;
}

static ExitCode_t
plan_and(const ClientOptions_t *options, gboolean apply)
{
    if (!options->words[0]) {
        fputs("wheattiller: name files or directories\n", stderr);
        return EXIT_USAGE;
    }
    GPtrArray *declared = load_files(options);
    if (!declared) {
        return EXIT_INVALID;
    }
    OperatorClient_t *client = client_of(options);
    ExitCode_t code = EXIT_OK;
    GPtrArray *steps = make_plan(client, options, declared, &code);
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
    return plan_and(options, FALSE);
}

ExitCode_t
ClientCommands_apply(const ClientOptions_t *options)
{
    return plan_and(options, TRUE);
}
