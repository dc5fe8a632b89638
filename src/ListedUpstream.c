#include "ListedUpstream.h"

#include <xxhash.h>

static void
free_string(gpointer string)
{
    g_string_free(string, TRUE);
}

void
ListedUpstream_init(ListedUpstream_t *this)
{
    *this = (ListedUpstream_t){0};
    this->spec.hall = g_string_new(NULL);
    this->spec.region = g_string_new(NULL);
    this->spec.serves = g_ptr_array_new_with_free_func(free_string);
    this->weights = g_string_new(NULL);
    this->software = g_string_new(NULL);
}

void
ListedUpstream_clear(ListedUpstream_t *this)
{
    g_string_free(this->spec.hall, TRUE);
    g_string_free(this->spec.region, TRUE);
    g_ptr_array_unref(this->spec.serves);
    g_string_free(this->weights, TRUE);
    g_string_free(this->software, TRUE);
}

guint64
ListedUpstream_incarnation(const ListedUpstream_t *this)
{
    return MAX(this->incarnation, 1);
}

guint64
ListedUpstream_hashWithoutWeights(const ListedUpstream_t *this)
{
    g_autoptr(GString) text = g_string_new(NULL);
    g_string_printf(text, "%s:%u %s %d %" G_GUINT64_FORMAT " %s",
                    this->spec.address.host, this->spec.address.port,
                    this->spec.hall->str, this->leaving, this->incarnation,
                    this->software->str);
    for (guint i = 0; i < this->spec.serves->len; i++) {
        const GString *target = g_ptr_array_index(this->spec.serves, i);
        g_string_append_printf(text, " %s", target->str);
    }
    return XXH3_64bits(text->str, text->len);
}
