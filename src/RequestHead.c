#include "RequestHead.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "RelayForm.h"

#define HOST_HEADER "Host"
#define CONNECTION_HEADER "Connection"
#define CLOSE_OPTION "close"
#define HTTP_MAJOR 1
#define HTTP_MINOR 1

static const char *const schemes[] = {"http://", "https://"};

/* Returns what follows the scheme of an absolute form, or NULL. */
static char *
find_authority(char *target)
{
    for (gsize i = 0; i < G_N_ELEMENTS(schemes); i++) {
        gsize length = strlen(schemes[i]);
        if (g_ascii_strncasecmp(target, schemes[i], length) == 0) {
            return target + length;
        }
    }
    return NULL;
}

/* One without a Host header is malformed, whatever its target. */
static void
replace_host(struct evhttp_request *request, const char *authority,
             gsize length)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    g_autofree char *host = g_strndup(authority, length);
    if (evhttp_find_header(headers, HOST_HEADER)) {
        evhttp_remove_header(headers, HOST_HEADER);
        evhttp_add_header(headers, HOST_HEADER, host);
    }
}

/* The target gets shorter, so that it stays where it is. */
static void
replace_target(struct evhttp_request *request, const char *path)
{
    gboolean has_slash = *path == '/';
    gboolean is_server = *path == '\0' && request->type == EVHTTP_REQ_OPTIONS;
    memmove(request->uri + (has_slash ? 0 : 1), path, strlen(path) + 1);
    if (!has_slash) {
        request->uri[0] = is_server ? '*' : '/';
    }
}

static const char *
find_method(struct evhttp_request *request)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request),
                              RELAY_METHOD);
}

const char *
RequestHead_unnamedMethod(struct evhttp_request *request)
{
    return request->type == METHOD_UNNAMED ? find_method(request) : NULL;
}

enum evhttp_cmd_type
RequestHead_methodToSend(struct evhttp_request *request)
{
    return RequestHead_unnamedMethod(request) ? EVHTTP_REQ_POST
                                              : request->type;
}

static void
make_origin_form(struct evhttp_request *request)
{
    char *authority = find_authority(request->uri);
    gsize length = authority ? strcspn(authority, "/?#") : 0;
    if (length == 0 || memchr(authority, '@', length)) {
        return;
    }
    replace_host(request, authority, length);
    replace_target(request, authority + length);
    request->flags &= ~EVHTTP_PROXY_REQUEST;
}

static gboolean
has_option(const char *value, const char *option)
{
    g_auto(GStrv) options = g_strsplit(value, ",", -1);
    for (char **at = options; *at; at++) {
        if (g_ascii_strcasecmp(g_strstrip(*at), option) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the values of all Connection fields; @closes is set if one has the
 * option "close". */
static GPtrArray *
read_connection(const struct evkeyvalq *headers, gboolean *closes)
{
    GPtrArray *values = g_ptr_array_new_with_free_func(g_free);
    const struct evkeyval *header = NULL;
    *closes = FALSE;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, CONNECTION_HEADER) == 0) {
            g_ptr_array_add(values, g_strdup(header->value));
            *closes = *closes || has_option(header->value, CLOSE_OPTION);
        }
    }
    return values;
}

/* evhttp knows the option only as the whole value of the first field. */
static void
put_close_first(struct evkeyvalq *headers)
{
    gboolean closes = FALSE;
    g_autoptr(GPtrArray) values = read_connection(headers, &closes);
    if (!closes) {
        return;
    }
    while (evhttp_remove_header(headers, CONNECTION_HEADER) == 0) {
    }
    evhttp_add_header(headers, CONNECTION_HEADER, CLOSE_OPTION);
    for (guint i = 0; i < values->len; i++) {
        evhttp_add_header(headers, CONNECTION_HEADER,
                          g_ptr_array_index(values, i));
    }
}

void
RequestHead_normalize(struct evhttp_request *request)
{
    if (find_method(request)) {
        request->type = METHOD_UNNAMED;
    }
    request->minor = MIN(request->minor, HTTP_MINOR);
    put_close_first(evhttp_request_get_input_headers(request));
    make_origin_form(request);
}

gboolean
RequestHead_hasVersion(const struct evhttp_request *request)
{
    return request->major == HTTP_MAJOR;
}
