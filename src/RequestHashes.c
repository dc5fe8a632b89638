#include "RequestHashes.h"

struct RequestHashes {
    GString *customer;
    GString *path;
    GBytes *body;
    GString *parts_customer;
    guint64 *part_ids;
    guint part_count;
    GArray *parts; /* NULL until it is used */
    RequestDigest_t digest;
    guint64 customer_hash;
    gboolean is_hashed;
};

RequestHashes_t *
RequestHashes_create(const RequestIdentity_t *identity,
                     const PromptParts_t *parts)
{
    RequestHashes_t *this = g_new0(RequestHashes_t, 1);
    this->customer = g_string_new(identity->customer);
    this->path = g_string_new(identity->path);
    this->body = g_bytes_ref(identity->body);
    this->parts_customer = g_string_new(parts->customer);
    this->part_count = parts->count;
    this->part_ids = g_memdup2(parts->ids, parts->count * sizeof(*parts->ids));
    return this;
}

void
RequestHashes_destroy(RequestHashes_t *this)
{
    g_string_free(this->customer, TRUE);
    g_string_free(this->path, TRUE);
    g_bytes_unref(this->body);
    g_string_free(this->parts_customer, TRUE);
    g_free(this->part_ids);
    if (this->parts) {
        g_array_unref(this->parts);
    }
    g_free(this);
}

static void
compute_hashes(RequestHashes_t *this, GBytes *key)
{
    RequestIdentity_t identity = {
        .customer = this->customer->str,
        .path = this->path->str,
        .body = this->body,
    };
    if (!this->is_hashed) {
        this->digest = RequestDigest_make(&identity, key);
        this->customer_hash =
            RequestDigest_hashCustomer(this->customer->str, key);
        this->is_hashed = TRUE;
    }
}

const RequestDigest_t *
RequestHashes_digest(RequestHashes_t *this, GBytes *key)
{
    compute_hashes(this, key);
    return &this->digest;
}

guint64
RequestHashes_customerHash(RequestHashes_t *this, GBytes *key)
{
    compute_hashes(this, key);
    return this->customer_hash;
}

GArray *
RequestHashes_parts(RequestHashes_t *this, GBytes *key)
{
    if (!this->parts) {
        PromptParts_t parts = {
            .customer = this->parts_customer->str,
            .ids = this->part_ids,
            .count = this->part_count,
        };
        this->parts = PromptParts_makeKeys(&parts, key);
    }
    return this->parts;
}
