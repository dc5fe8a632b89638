#include "BodyFraming.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "LineCheck.h"

#define LENGTH_HEADER "Content-Length"
#define CODING_HEADER "Transfer-Encoding"
#define STATUS_CONTINUE 100
#define STATUS_SWITCHING 101
#define BLANKS " \t"
#define METHODS_WITH_BODY                                                     \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |  \
     EVHTTP_REQ_OPTIONS | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH)

const char *
BodyFraming_name(BodyFraming_t framing)
{
    static const char *const names[] = {
        [BODY_EMPTY] = "empty",
        [BODY_LENGTH] = "length",
        [BODY_CHUNKED] = "chunked",
        [BODY_CLOSE_DELIMITED] = "close_delimited",
        [BODY_AMBIGUOUS] = "ambiguous",
    };
    return names[framing];
}

gboolean
BodyFraming_endsBeforeConnection(BodyFraming_t framing)
{
    return framing != BODY_CLOSE_DELIMITED && framing != BODY_AMBIGUOUS;
}

static gboolean
has_no_body(enum evhttp_cmd_type method, int status)
{
    return method == EVHTTP_REQ_HEAD || status == HTTP_NOCONTENT ||
           status == HTTP_NOTMODIFIED;
}

/* Counts the headers of a name; @value gets the first one's value. */
static guint
count_values(const struct evkeyvalq *headers, const char *name,
             const char **value)
{
    const struct evkeyval *header = NULL;
    guint count = 0;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, name) != 0) {
            continue;
        }
        if (count == 0) {
            *value = header->value;
        }
        count++;
    }
    return count;
}

static gboolean
is_length(const char *value)
{
    guint64 length = 0;
    return g_ascii_isdigit(*value) &&
           g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT64, &length, NULL);
}

static const char *
find_status_fault(int status)
{
    if (status >= HTTP_OK) {
        return NULL;
    }
    return status == STATUS_SWITCHING ? "the answer switches protocols"
                                      : "an interim answer is too long";
}

static const char *
find_coding_fault(guint codings, const char *coding)
{
    if (codings > 1) {
        return "the answer has several transfer codings";
    }
    return codings == 0 || g_ascii_strcasecmp(coding, "chunked") == 0
               ? NULL
               : "the answer's transfer coding is not chunked";
}

static const char *
find_length_fault(guint lengths, const char *length)
{
    if (lengths > 1) {
        return "the answer states several lengths";
    }
    return lengths == 0 || is_length(length)
               ? NULL
               : "the answer's length is no number";
}

const char *
BodyFraming_findFault(enum evhttp_cmd_type method, int status,
                      const struct evkeyvalq *headers)
{
    const char *coding = NULL;
    const char *length = NULL;
    guint codings = count_values(headers, CODING_HEADER, &coding);
    guint lengths = count_values(headers, LENGTH_HEADER, &length);
    const char *fault = find_status_fault(status);
    if (fault || has_no_body(method, status)) {
        return fault;
    }
    if (codings > 0 && lengths > 0) {
        return "the answer states a length beside a transfer coding";
    }
    fault = find_coding_fault(codings, coding);
    return fault ? fault : find_length_fault(lengths, length);
}

BodyFraming_t
BodyFraming_read(enum evhttp_cmd_type method, int status,
                 const struct evkeyvalq *headers)
{
    const char *value = NULL;
    if (BodyFraming_findFault(method, status, headers)) {
        return BODY_AMBIGUOUS;
    }
    if (has_no_body(method, status)) {
        return BODY_EMPTY;
    }
    if (count_values(headers, CODING_HEADER, &value) > 0) {
        return BODY_CHUNKED;
    }
    return count_values(headers, LENGTH_HEADER, &value) > 0
               ? BODY_LENGTH
               : BODY_CLOSE_DELIMITED;
}

static gboolean
is_token(const char *name)
{
    const char *at = name;
    while (LineCheck_isToken(*at)) {
        at++;
    }
    return at != name && *at == '\0';
}

static gboolean
has_only_tokens(const struct evkeyvalq *headers)
{
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        if (!is_token(header->key)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* After other heads, those of unknown methods too, evhttp reads none, but the
 * next request. */
static gboolean
never_has_body(enum evhttp_cmd_type method)
{
    return (method & METHODS_WITH_BODY) == 0;
}

static gboolean
states_body(guint codings, const char *length)
{
    return codings > 0 || (length && strspn(length, "0") != strlen(length));
}

gboolean
BodyFraming_isAmbiguousRequest(enum evhttp_cmd_type method,
                               const struct evkeyvalq *headers)
{
    const char *coding = NULL;
    const char *length = NULL;
    guint codings = count_values(headers, CODING_HEADER, &coding);
    guint lengths = count_values(headers, LENGTH_HEADER, &length);
    if (codings + lengths > 1 || !has_only_tokens(headers)) {
        return TRUE;
    }
    if (never_has_body(method) && states_body(codings, length)) {
        return TRUE;
    }
    if (codings == 1) {
        return g_ascii_strcasecmp(coding, "chunked") != 0;
    }
    return lengths == 1 && !is_length(length);
}

static void
trim(char *value)
{
    size_t begin = strspn(value, BLANKS);
    size_t length = strlen(value);
    while (length > begin && strchr(BLANKS, value[length - 1])) {
        length--;
    }
    memmove(value, value + begin, length - begin);
    value[length - begin] = '\0';
}

/* evhttp leaves tabs in front of values, and the blanks of folds. */
static void
trim_values(struct evkeyvalq *headers)
{
    struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        trim(header->value);
    }
}

/* evhttp takes an answer without a length for one without a body if it has a
 * Connection header other than "close". */
BodyFraming_t
BodyFraming_receive(struct evhttp_request *request, const char **fault)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    int status = evhttp_request_get_response_code(request);
    trim_values(headers);
    *fault = BodyFraming_findFault(method, status, headers);
    BodyFraming_t framing = BodyFraming_read(method, status, headers);
    if (framing == BODY_CLOSE_DELIMITED) {
        evhttp_remove_header(headers, "Connection");
    }
    return framing;
}

gboolean
BodyFraming_skipInterim(struct evhttp_request *request)
{
    gboolean is_interim =
        evhttp_request_get_response_code(request) == STATUS_CONTINUE;
    if (is_interim) {
        evhttp_clear_headers(evhttp_request_get_input_headers(request));
    }
    return is_interim;
}
