#include "RequestDigest.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

static void
begin(crypto_generichash_state *state, GBytes *key, gsize size)
{
    gsize key_size = 0;
    const guint8 *bytes = g_bytes_get_data(key, &key_size);
    crypto_generichash_init(state, bytes, key_size, size);
}

/* The NUL goes into the hash, so that no two texts run into each other. */
static void
add_text(crypto_generichash_state *state, const char *text)
{
    crypto_generichash_update(state, (const guint8 *)text, strlen(text) + 1);
}

guint64
RequestDigest_owner(const char *customer, GBytes *key)
{
    guint8 bytes[crypto_generichash_BYTES_MIN];
    guint64 owner = 0;
    crypto_generichash_state state;
    begin(&state, key, sizeof(bytes));
    add_text(&state, customer);
    crypto_generichash_final(&state, bytes, sizeof(bytes));
    memcpy(&owner, bytes, sizeof(owner));
    return owner;
}

/* Bodies are long and each is hashed: a fast hash takes them, its seed made of
 * the key, and the keyed one what it gives. Two bodies that the fast one takes
 * for the same are the same customer's own matter. */
static void
add_body(crypto_generichash_state *state, GBytes *body, GBytes *key)
{
    gsize size = 0;
    const void *bytes = g_bytes_get_data(body, &size);
    guint64 seed = RequestDigest_owner("", key);
    XXH128_hash_t hash = XXH3_128bits_withSeed(bytes, size, seed);
    XXH128_canonical_t written;
    XXH128_canonicalFromHash(&written, hash);
    crypto_generichash_update(state, written.digest, sizeof(written.digest));
}

RequestDigest_t
RequestDigest_make(const RequestIdentity_t *identity, GBytes *key)
{
    RequestDigest_t digest;
    crypto_generichash_state state;
    begin(&state, key, sizeof(digest.bytes));
    add_text(&state, identity->customer);
    add_text(&state, identity->path);
    add_body(&state, identity->body, key);
    crypto_generichash_final(&state, digest.bytes, sizeof(digest.bytes));
    return digest;
}

guint
RequestDigest_hash(gconstpointer digest)
{
    guint hash = 0;
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

gboolean
RequestDigest_equal(gconstpointer left, gconstpointer right)
{
    return memcmp(left, right, REQUEST_DIGEST_BYTES) == 0;
}

void
RequestDigest_write(const RequestDigest_t *this,
                    char out[REQUEST_DIGEST_TEXT + 1])
{
    sodium_bin2hex(out, REQUEST_DIGEST_TEXT + 1, this->bytes,
                   sizeof(this->bytes));
}

gboolean
RequestDigest_read(const char *text, RequestDigest_t *out)
{
    gsize size = 0;
    int failed = sodium_hex2bin(out->bytes, sizeof(out->bytes), text,
                                strlen(text), NULL, &size, NULL);
    return failed == 0 && size == sizeof(out->bytes);
}
