#include "CrashSubject.h"

struct CrashSubject {
    GString *customer;
    GString *path;
    GBytes *body;
    RequestDigest_t digest;
    guint64 owner;
    gboolean is_hashed;
};

CrashSubject_t *
CrashSubject_create(const RequestIdentity_t *identity)
{
    CrashSubject_t *this = g_new0(CrashSubject_t, 1);
    this->customer = g_string_new(identity->customer);
    this->path = g_string_new(identity->path);
    this->body = g_bytes_ref(identity->body);
    return this;
}

void
CrashSubject_destroy(CrashSubject_t *this)
{
    g_string_free(this->customer, TRUE);
    g_string_free(this->path, TRUE);
    g_bytes_unref(this->body);
    g_free(this);
}

static void
hash(CrashSubject_t *this, GBytes *key)
{
    RequestIdentity_t identity = {
        .customer = this->customer->str,
        .path = this->path->str,
        .body = this->body,
    };
    if (!this->is_hashed) {
        this->digest = RequestDigest_make(&identity, key);
        this->owner = RequestDigest_hashCustomer(this->customer->str, key);
        this->is_hashed = TRUE;
    }
}

const RequestDigest_t *
CrashSubject_digest(CrashSubject_t *this, GBytes *key)
{
    hash(this, key);
    return &this->digest;
}

guint64
CrashSubject_owner(CrashSubject_t *this, GBytes *key)
{
    hash(this, key);
    return this->owner;
}
