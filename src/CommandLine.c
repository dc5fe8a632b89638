#include "CommandLine.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ClientCommands.h"
#include "Declarations.h"
#include "Diagnostics.h"
#include "IniFile.h"
#include "Log.h"
#include "LogReport.h"
#include "LogTimeline.h"
#include "Problem.h"
#include "Router.h"
#include "Settings.h"
#include "SettingsPath.h"
#include "SettingsStart.h"
#include "StopSignals.h"

#define VERSION "0.1.0"
#define DEFAULT_TIMEOUT_MS 10000
#define KEY_HASH_BYTES 32

enum {
    OPTION_SETTINGS = 's',
    OPTION_DEFAULT_SETTINGS = 'd',
    OPTION_ROUTER = 'r',
    OPTION_KEY_FILE = 'k',
    OPTION_OUTPUT = 'o',
    OPTION_WAIT = 'w',
    OPTION_PRUNE = 'p',
    OPTION_TIMEOUT = 't',
    OPTION_VERBOSE = 'v',
};

typedef struct {
    const PlatformForm_t *const *forms;
    char *settings;
    char *default_settings;
    gboolean verbose;
    ClientOptions_t client;
    GPtrArray *args;
} Arguments_t;

typedef struct {
    const char *name;
    ExitCode_t (*run)(Arguments_t *arguments);
} Command_t;

const char *argp_program_version = "wheattiller " VERSION;

static const char args_doc[] = "COMMAND [ARGUMENT...]";

static const char usage_doc[] =
    "A router for language-model traffic with long shared prompts."
    "\vCommands:\n"
    "  router                   run a router\n"
    "  check FILE...            check settings and declarations offline\n"
    "  plan FILE...             show what apply would change\n"
    "  apply FILE...            put declarations in force\n"
    "  result COMMAND-ID        show the outcome of a command\n"
    "  get [KIND [NAME]]        show declarations in force\n"
    "  status                   show routers and their view of upstreams\n"
    "  counters [PREFIX]        show the counters of a router\n"
    "  explain REQUEST-ID       show how a recent request was routed\n"
    "  crashes                  list requests during which upstreams crashed\n"
    "  release DIGEST           lift the quarantine of such a request\n"
    "  story REQUEST-ID LOG...  show the timeline of a request from logs\n"
    "  report LOG...            summarize the requests in logs as tables\n"
    "  hash-key                 hash a key read from standard input\n"
    "  reference                print the settings reference in Markdown\n"
    "\n"
    "Without --router and --key-file, the environment variables "
    "WHEATTILLER_ROUTERS (separated by commas) and WHEATTILLER_KEY are "
    "used.\n"
    "\n"
    "Exit codes: 0 success, 1 a file or declaration is invalid or nothing was "
    "found, 2 bad usage, 3 no router or log was reached and nothing was "
    "changed, 4 conflict with an earlier change, 5 the outcome is unknown.";

static const struct argp_option options[] = {
    {"settings", OPTION_SETTINGS, "FILE", 0, "Settings of the router", 0},
    {"default-settings", OPTION_DEFAULT_SETTINGS, "FILE", 0,
     "The same, unless --settings or the platform's variable names them", 0},
    {"verbose", OPTION_VERBOSE, NULL, 0, "Log at debug level", 0},
    {"router", OPTION_ROUTER, "IP:PORT", 0,
     "A router's operator interface; may be repeated", 0},
    {"key-file", OPTION_KEY_FILE, "FILE", 0, "File with the operator key", 0},
    {"output", OPTION_OUTPUT, "text|json", 0, "Output format", 0},
    {"wait", OPTION_WAIT, NULL, 0,
     "apply: wait until the changes are in force on every listed router", 0},
    {"prune", OPTION_PRUNE, NULL, 0,
     "plan, apply: remove objects that the files do not declare", 0},
    {"timeout", OPTION_TIMEOUT, "MS", 0, "Timeout of one call", 0},
    {0},
};

static gboolean
add_router(ClientOptions_t *client, const char *text)
{
    Address_t address = {{0}, 0};
    const char *colon = strrchr(text, ':');
    guint64 port = 0;
    if (!colon || colon - text >= ADDRESS_HOST_SIZE ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port,
                                    NULL)) {
        return FALSE;
    }
    memcpy(address.host, text, (size_t)(colon - text));
    address.port = (guint16)port;
    g_array_append_val(client->routers, address);
    return TRUE;
}

static gboolean
add_routers(ClientOptions_t *client, const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text, ",", -1);
    gboolean valid = TRUE;
    for (guint i = 0; parts[i]; i++) {
        valid = add_router(client, g_strstrip(parts[i])) && valid;
    }
    return valid;
}

static gboolean
read_key_file(ClientOptions_t *client, const char *path)
{
    g_free(client->key);
    client->key = NULL;
    if (!g_file_get_contents(path, &client->key, NULL, NULL)) {
        return FALSE;
    }
    g_strstrip(client->key);
    return TRUE;
}

static gboolean
read_timeout(ClientOptions_t *client, const char *text)
{
    guint64 wait = 0;
    gboolean valid =
        g_ascii_string_to_unsigned(text, 10, 1, 3600000, &wait, NULL);
    client->timeout_ms = (gint64)wait;
    return valid;
}

static gboolean
read_output(ClientOptions_t *client, const char *text)
{
    client->output = strcmp(text, "json") == 0 ? OUTPUT_JSON : OUTPUT_TEXT;
    return client->output == OUTPUT_JSON || strcmp(text, "text") == 0;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    Arguments_t *arguments = state->input;
    ClientOptions_t *client = &arguments->client;
    gboolean valid = TRUE;
    switch (key) {
    case OPTION_SETTINGS:
        arguments->settings = value;
        break;
    case OPTION_DEFAULT_SETTINGS:
        arguments->default_settings = value;
        break;
    case OPTION_VERBOSE:
        arguments->verbose = TRUE;
        break;
    case OPTION_ROUTER:
        valid = add_routers(client, value);
        break;
    case OPTION_KEY_FILE:
        valid = read_key_file(client, value);
        break;
    case OPTION_OUTPUT:
        valid = read_output(client, value);
        break;
    case OPTION_WAIT:
        client->wait = TRUE;
        break;
    case OPTION_PRUNE:
        client->prune = TRUE;
        break;
    case OPTION_TIMEOUT:
        valid = read_timeout(client, value);
        break;
    case ARGP_KEY_ARG:
        g_ptr_array_add(arguments->args, value);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    if (!valid) {
        argp_error(state, "bad value: %s", value);
    }
    return 0;
}

/* Returns NULL for the native platform. */
static const PlatformForm_t *
find_platform_form(const Arguments_t *arguments, const Settings_t *settings)
{
    return arguments->forms[settings->platform.form];
}

/* The settings name the platform, so that the variables of all of them may
 * name the settings. */
static GPtrArray *
list_settings_variables(const Arguments_t *arguments)
{
    GPtrArray *names = g_ptr_array_new();
    for (gsize i = 0; i <= PLATFORM_FLEET; i++) {
        const PlatformForm_t *form = arguments->forms[i];
        if (form && form->settings_variable) {
            g_ptr_array_add(names, (gpointer)form->settings_variable);
        }
    }
    g_ptr_array_add(names, NULL);
    return names;
}

/* Returns NULL with a line on standard error if nothing names the file. */
static const char *
choose_settings(const Arguments_t *arguments)
{
    g_autoptr(GPtrArray) names = list_settings_variables(arguments);
    SettingsPath_t choice = {
        .option = arguments->settings,
        .variables = (const char *const *)names->pdata,
        .fallback = arguments->default_settings,
    };
    const char *path = SettingsPath_choose(&choice);
    if (!path) {
        g_autofree char *list = g_strjoinv(", ", (char **)names->pdata);
        fprintf(stderr,
                "wheattiller: router needs --settings, --default-settings or "
                "a variable with the path of its settings: %s\n",
                list);
    }
    return path;
}

static ExitCode_t
run_router(Arguments_t *arguments)
{
    LogLevel_t level = arguments->verbose ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO;
    StopSignals_hold();
    Log_open("wheattiller", level);
    const char *path = choose_settings(arguments);
    if (!path) {
        return EXIT_USAGE;
    }
    Settings_t *settings = SettingsStart_run(path);
    if (!settings) {
        return EXIT_INVALID;
    }
    Log_open(settings->router.name->str, level);
    Diagnostics_start(settings->router.name->str);
    Log_setBudget(settings->limits.log_budget);
    Log_setLevel((LogLevel_t)settings->limits.log_level);
    g_autoptr(GError) error = NULL;
    gboolean valid =
        Router_run(settings, find_platform_form(arguments, settings), &error);
    if (!valid) {
        Log_error("router_failed", error);
    }
    Settings_destroy(settings);
    return valid ? EXIT_OK : EXIT_INVALID;
}

/* A file with at least one known settings section is a settings file; all
 * others are checked as declarations. */
static gboolean
is_settings_file(const char *path)
{
    g_autoptr(GPtrArray) ignored = Problems_create();
    IniFile_t *ini = IniFile_create(path, ignored);
    if (!ini) {
        return FALSE;
    }
    g_auto(GStrv) names = IniFile_sections(ini);
    gboolean found = FALSE;
    for (guint i = 0; names[i]; i++) {
        found = found || Settings_isSection(names[i]);
    }
    IniFile_destroy(ini);
    return found;
}

static ExitCode_t
run_check(Arguments_t *arguments)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    g_autoptr(GPtrArray) declarations = g_ptr_array_new();
    for (char **path = arguments->client.args; *path; path++) {
        if (g_file_test(*path, G_FILE_TEST_IS_DIR) ||
            !is_settings_file(*path)) {
            g_ptr_array_add(declarations, *path);
            continue;
        }
        Settings_t *settings = Settings_create(*path, problems);
        if (settings) {
            Settings_destroy(settings);
        }
    }
    g_ptr_array_add(declarations, NULL);
    GPtrArray *objects =
        Declarations_load((char **)declarations->pdata, problems);
    g_ptr_array_unref(objects);
    Problems_print(problems);
    return problems->len > 0 ? EXIT_INVALID : EXIT_OK;
}

/* Prints @text and frees it, or prints @error if @text is NULL. */
static ExitCode_t
print_log_result(GString *text, const GError *error)
{
    if (!text) {
        fprintf(stderr, "wheattiller: %s\n", error->message);
        return EXIT_INVALID;
    }
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
    return EXIT_OK;
}

static ExitCode_t
run_timeline(Arguments_t *arguments)
{
    char **args = arguments->client.args;
    if (!args[0] || !args[1]) {
        fputs("wheattiller: story needs a request's id and files\n", stderr);
        return EXIT_USAGE;
    }
    g_autoptr(GError) error = NULL;
    GString *timeline = LogTimeline_write(args[0], args + 1, &error);
    return print_log_result(timeline, error);
}

static ExitCode_t
run_report(Arguments_t *arguments)
{
    char **args = arguments->client.args;
    if (!args[0]) {
        fputs("wheattiller: report needs files\n", stderr);
        return EXIT_USAGE;
    }
    g_autoptr(GError) error = NULL;
    GString *report = LogReport_write(args, &error);
    return print_log_result(report, error);
}

static ExitCode_t
run_hash_key(Arguments_t *arguments)
{
    (void)arguments;
    char key[1024];
    if (!fgets(key, sizeof(key), stdin)) {
        fputs("wheattiller: no key on standard input\n", stderr);
        return EXIT_USAGE;
    }
    g_strstrip(key);
    guint8 hash[KEY_HASH_BYTES];
    char hex[2 * KEY_HASH_BYTES + 1];
    crypto_generichash(hash, sizeof(hash), (const guint8 *)key, strlen(key),
                       NULL, 0);
    puts(sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
    return EXIT_OK;
}

static ExitCode_t
run_reference(Arguments_t *arguments)
{
    (void)arguments;
    GString *text = g_string_new(
        "# Reference\n\nMade by `wheattiller reference`. Durations are in "
        "milliseconds and sizes in bytes in the ranges.\n\n"
        "# Settings of a router\n");
    Settings_appendReference(text);
    g_string_append(text, "\n# Declarations\n");
    Declarations_appendReference(text);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
    return EXIT_OK;
}

typedef ExitCode_t (*ClientRun_t)(const ClientOptions_t *options);

static ExitCode_t
run_client(Arguments_t *arguments, ClientRun_t run)
{
    ClientOptions_t *client = &arguments->client;
    if (client->routers->len == 0) {
        fputs("wheattiller: name a router with --router\n", stderr);
        return EXIT_USAGE;
    }
    if (!client->key) {
        fputs("wheattiller: name the key with --key-file\n", stderr);
        return EXIT_USAGE;
    }
    return run(client);
}

static ExitCode_t
run_plan(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_plan);
}

static ExitCode_t
run_apply(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_apply);
}

static ExitCode_t
run_result(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_result);
}

static ExitCode_t
run_get(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_get);
}

static ExitCode_t
run_status(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_status);
}

static ExitCode_t
run_counters(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_counters);
}

static ExitCode_t
run_explain(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_explain);
}

static ExitCode_t
run_crashes(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_crashes);
}

static ExitCode_t
run_release(Arguments_t *arguments)
{
    return run_client(arguments, ClientCommands_release);
}

static const Command_t commands[] = {
    {"router", run_router},       {"check", run_check},
    {"plan", run_plan},           {"apply", run_apply},
    {"result", run_result},       {"get", run_get},
    {"status", run_status},       {"counters", run_counters},
    {"explain", run_explain},     {"hash-key", run_hash_key},
    {"reference", run_reference}, {"story", run_timeline},
    {"report", run_report},       {"crashes", run_crashes},
    {"release", run_release},
};

static ExitCode_t
run_command(Arguments_t *arguments, const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return commands[i].run(arguments);
        }
    }
    fprintf(stderr, "wheattiller: unknown command %s; see --help\n", name);
    return EXIT_USAGE;
}

static void
read_environment(ClientOptions_t *client)
{
    const char *routers = g_getenv("WHEATTILLER_ROUTERS");
    if (client->routers->len == 0 && routers) {
        add_routers(client, routers);
    }
    if (!client->key) {
        client->key = g_strdup(g_getenv("WHEATTILLER_KEY"));
    }
}

ExitCode_t
CommandLine_run(const PlatformForm_t *const *forms, int argc, char **argv)
{
    static const struct argp parser = {.options = options,
                                       .parser = parse_option,
                                       .args_doc = args_doc,
                                       .doc = usage_doc};
    Arguments_t arguments = {.forms = forms, .args = g_ptr_array_new()};
    arguments.client.routers = g_array_new(FALSE, FALSE, sizeof(Address_t));
    arguments.client.timeout_ms = DEFAULT_TIMEOUT_MS;
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    ExitCode_t code = EXIT_USAGE;
    read_environment(&arguments.client);
    g_ptr_array_add(arguments.args, NULL);
    if (arguments.args->len > 1) {
        arguments.client.args = (char **)arguments.args->pdata + 1;
        code = run_command(&arguments, g_ptr_array_index(arguments.args, 0));
    }
    else {
        argp_help(&parser, stderr, ARGP_HELP_STD_USAGE, argv[0]);
    }
    g_ptr_array_unref(arguments.args);
    g_array_unref(arguments.client.routers);
    g_free(arguments.client.key);
    return code;
}
