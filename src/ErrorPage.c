#include "ErrorPage.h"

#include <event2/http.h>
#include <string.h>

#define STATUS_TOO_LONG 413
#define STATUS_BAD_EXPECTATION 417
#define STATUS_LINE "HTTP/1.1 "
#define PAGE_END "</BODY></HTML>\n"
/* Longer than any page. */
#define PAGE_MAX 2048

static const struct {
    int status;
    Refusal_t refusal;
} refusals[] = {
    {HTTP_BADREQUEST, REFUSAL_BAD_HEADER},
    {STATUS_TOO_LONG, REFUSAL_BODY_TOO_LONG},
    {STATUS_BAD_EXPECTATION, REFUSAL_BAD_EXPECTATION},
    {HTTP_NOTIMPLEMENTED, REFUSAL_UNKNOWN_METHOD},
};

static gboolean
find_refusal(gint64 status, Refusal_t *refusal)
{
    for (gsize i = 0; i < G_N_ELEMENTS(refusals); i++) {
        if (refusals[i].status == status) {
            *refusal = refusals[i].refusal;
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
ErrorPage_read(struct evbuffer *output, Refusal_t *refusal)
{
    gsize length = evbuffer_get_length(output);
    if (length <= strlen(STATUS_LINE) + strlen(PAGE_END) ||
        length > PAGE_MAX) {
        return FALSE;
    }
    g_autofree char *text =
        g_strndup((const char *)evbuffer_pullup(output, -1), length);
    return g_str_has_prefix(text, "HTTP/") &&
           g_str_has_suffix(text, PAGE_END) &&
           find_refusal(g_ascii_strtoll(text + strlen(STATUS_LINE), NULL, 10),
                        refusal);
}
