#include "testing.h"

#include <string.h>

#include "OperatorCommands.h"

/* A log that never answers reads and answers an append when the test calls
 * @done. */
typedef struct {
    LogClient_t super;
    guint appended; /* number of appended records */
    LogAppended_t done;
    void *data;
} SilentLog_t;

static void
append(LogClient_t *this, const char *stream, GBytes *record,
       LogAppended_t done, void *data)
{
    (void)stream;
    (void)record;
    SilentLog_t *log = (SilentLog_t *)this;
    log->appended++;
    log->done = done;
    log->data = data;
}

static void
read_from(LogClient_t *this, const char *stream, guint64 from, gint64 wait_ms,
          LogRead_t done, void *data)
{
    (void)this;
    (void)stream;
    (void)from;
    (void)wait_ms;
    (void)done;
    (void)data;
}

static const LogClientClass_t silent_class = {.append = append,
                                              .read = read_from};

static void
store_error_code(const Wt__ApplyResponse *response, void *data)
{
    *(int *)data = (int)response->error->code;
}

/* Creates a request with a valid priority and adds the encoded field @unknown
 * to its change. */
static Wt__ApplyRequest *
create_request(const guint8 *unknown, gsize size)
{
    Wt__Field field = WT__FIELD__INIT;
    Wt__Field *fields[] = {&field};
    Wt__Change change = WT__CHANGE__INIT;
    Wt__Change *changes[] = {&change};
    Wt__ApplyRequest request = WT__APPLY_REQUEST__INIT;
    field.key = (char *)"level";
    field.value = (char *)"5";
    change.kind = (char *)"priority";
    change.name = (char *)"p";
    change.fields = fields;
    change.n_fields = 1;
    request.command_id.data = (guint8 *)"12345678";
    request.command_id.len = 8;
    request.changes = changes;
    request.n_changes = 1;
    guint8 bytes[128];
    gsize length = wt__apply_request__pack(&request, bytes);
    Wt__ApplyRequest *decoded = wt__apply_request__unpack(NULL, length, bytes);
    guint8 packed[128];
    gsize change_size = wt__change__pack(decoded->changes[0], packed);
    memcpy(packed + change_size, unknown, size);
    wt__change__free_unpacked(decoded->changes[0], NULL);
    decoded->changes[0] = wt__change__unpack(NULL, change_size + size, packed);
    ck_assert_ptr_nonnull(decoded->changes[0]);
    return decoded;
}

/* Applies a command that the log does not answer; returns the error code. */
static int
apply_and_wait(const guint8 *unknown, gsize size, guint *appended)
{
    int code = -1;
    ConfigLogLimits_t limits = {
        .poll_ms = 1000, .retry_ms = 1000, .command_ms = 10};
    SilentLog_t log = {.super = {&silent_class}};
    struct event_base *base = event_base_new();
    ConfigStore_t *store = ConfigStore_create(NULL, NULL);
    ConfigLog_t *config_log =
        ConfigLog_create(base, &log.super, store, &limits);
    Context_t context = {
        .base = base, .config = store, .config_log = config_log};
    ProtobufCService *service = OperatorCommands_service(&context);
    Wt__ApplyRequest *request = create_request(unknown, size);
    wt__operator_command__apply(service, request, store_error_code, &code);
    wt__apply_request__free_unpacked(request, NULL);
    if (code < 0) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    *appended = log.appended;
    if (log.done) {
        log.done(0, NULL, log.data);
    }
    ConfigLog_destroy(config_log);
    ConfigStore_destroy(store);
    event_base_free(base);
    return code;
}

START_TEST(outcome_is_unknown_if_the_log_does_not_answer)
{
    guint appended = 0;
    ck_assert_int_eq(apply_and_wait((const guint8 *)"", 0, &appended),
                     WT__ERROR_CODE__ERROR_OUTCOME_UNKNOWN);
    ck_assert_uint_eq(appended, 1);
}
END_TEST

/*
 * A router crashed with a null pointer on a command with a field of number 0
 * in a change. protobuf-c decodes such a field but packs it in a form that it
 * cannot decode, and the router decoded the packed record for the answer. Such
 * a command is refused, and nothing is appended.
 */
START_TEST(command_with_undecodable_record_is_refused)
{
    static const guint8 unknown[] = {0x85, 0x00, 1, 2, 3, 4};
    guint appended = 0;
    ck_assert_int_eq(apply_and_wait(unknown, sizeof(unknown), &appended),
                     WT__ERROR_CODE__ERROR_INVALID_DECLARATION);
    ck_assert_uint_eq(appended, 0);
}
END_TEST

TESTING_MAIN("OperatorCommands", outcome_is_unknown_if_the_log_does_not_answer,
             command_with_undecodable_record_is_refused)
