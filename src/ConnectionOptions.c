#include "ConnectionOptions.h"

#include <event2/http.h>
#include <glib.h>
#include <sys/queue.h>

#include "RelayForm.h"

#define CONNECTION_HEADER "Connection"

static const char *const kept_always[] = {
    "Connection",
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Content-Type",
    "Content-Encoding",
    "Expect",
    RELAY_FORWARDED_BY,
    RELAY_FORWARD_PROOF,
    RELAY_TRY_ANOTHER,
    RELAY_CLOSE_DELIMITED,
    RELAY_METHOD,
    NULL,
};

static gboolean
is_among(const char *const *names, const char *name)
{
    for (const char *const *at = names; *at; at++) {
        if (g_ascii_strcasecmp(*at, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
is_kept(const char *const *kept, const char *name)
{
    return is_among(kept_always, name) || is_among(kept, name);
}

/* Options in lower case; the set owns them. */
static void
add_options(GHashTable *options, const char *value)
{
    g_auto(GStrv) words = g_strsplit(value, ",", -1);
    for (char **at = words; *at; at++) {
        g_hash_table_add(options, g_ascii_strdown(g_strstrip(*at), -1));
    }
}

static GHashTable *
read_options(const struct evkeyvalq *headers)
{
    GHashTable *options =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, CONNECTION_HEADER) == 0) {
            add_options(options, header->value);
        }
    }
    return options;
}

static gboolean
is_named(GHashTable *options, const char *name)
{
    g_autofree char *lower = g_ascii_strdown(name, -1);
    return g_hash_table_contains(options, lower);
}

/* A head may have as many options as fields, so that each field is looked up
 * once. */
void
ConnectionOptions_strip(struct evkeyvalq *headers, const char *const *kept)
{
    if (!evhttp_find_header(headers, CONNECTION_HEADER)) {
        return;
    }
    g_autoptr(GHashTable) options = read_options(headers);
    const struct evkeyval *header = TAILQ_FIRST(headers);
    while (header) {
        const struct evkeyval *next = TAILQ_NEXT(header, next);
        if (is_named(options, header->key) && !is_kept(kept, header->key)) {
            evhttp_remove_header(headers, header->key); /* the first one */
        }
        header = next;
    }
}
