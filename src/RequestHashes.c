#include "RequestHashes.h"

struct RequestHashes {
    GString *customer;
    GString *path;
    GBytes *body;
    RequestDigest_t digest;
    guint64 customer_hash;
    gboolean is_hashed;
};

RequestHashes_t *
RequestHashes_create(const RequestIdentity_t *identity)
{
    RequestHashes_t *this = g_new0(RequestHashes_t, 1);
    this->customer = g_string_new(identity->customer);
    this->path = g_string_new(identity->path);
    this->body = g_bytes_ref(identity->body);
    return this;
}

void
RequestHashes_destroy(RequestHashes_t *this)
{
    g_string_free(this->customer, TRUE);
    g_string_free(this->path, TRUE);
    g_bytes_unref(this->body);
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
