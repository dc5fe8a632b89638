#include "RequestDigest.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

static void
init_hash(crypto_generichash_state *state, GBytes *key, gsize size)
{
    gsize key_size = 0;
    const guint8 *bytes = g_bytes_get_data(key, &key_size);
    crypto_generichash_init(state, bytes, key_size, size);
}

/* Hashes the NUL as well, so that the boundary between two texts counts. */
static void
add_text(crypto_generichash_state *state, const char *text)
{
    crypto_generichash_update(state, (const guint8 *)text, strlen(text) + 1);
}

guint64
RequestDigest_hashCustomer(const char *customer, GBytes *key)
{
    guint8 bytes[crypto_generichash_BYTES_MIN];
    guint64 hash = 0;
    crypto_generichash_state state;
    init_hash(&state, key, sizeof(bytes));
    add_text(&state, customer);
    crypto_generichash_final(&state, bytes, sizeof(bytes));
    memcpy(&hash, bytes, sizeof(hash));
    return hash;
}

/* Bodies are long and every one is hashed, so that a fast hash seeded from the
 * key reduces the body and the keyed hash covers its result. A collision of
 * the fast hash concerns only bodies of the same customer. */
static void
add_body(crypto_generichash_state *state, GBytes *body, GBytes *key)
{
    gsize size = 0;
    const void *bytes = g_bytes_get_data(body, &size);
    guint64 seed = RequestDigest_hashCustomer("", key);
    XXH128_hash_t hash = XXH3_128bits_withSeed(bytes, size, seed);
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    crypto_generichash_update(state, canonical.digest,
                              sizeof(canonical.digest));
}

RequestDigest_t
RequestDigest_make(const RequestIdentity_t *identity, GBytes *key)
{
    RequestDigest_t digest;
    crypto_generichash_state state;
    init_hash(&state, key, sizeof(digest.bytes));
    add_text(&state, identity->customer);
    add_text(&state, identity->path);
    add_body(&state, identity->body, key);
    crypto_generichash_final(&state, digest.bytes, sizeof(digest.bytes));
    return digest;
}

RequestDigest_t
RequestDigest_makeOfId(const char *customer, const char *id, GBytes *key)
{
    RequestDigest_t digest;
    crypto_generichash_state state;
    init_hash(&state, key, sizeof(digest.bytes));
    add_text(&state, customer);
    add_text(&state, id);
    crypto_generichash_final(&state, digest.bytes, sizeof(digest.bytes));
    return digest;
}

RequestDigest_t
RequestDigest_makeOfPart(const char *customer, guint64 id, GBytes *key)
{
    RequestDigest_t digest;
    crypto_generichash_state state;
    guint64 bytes = GUINT64_TO_LE(id);
    init_hash(&state, key, sizeof(digest.bytes));
    add_text(&state, "part");
    add_text(&state, customer);
    crypto_generichash_update(&state, (const guint8 *)&bytes, sizeof(bytes));
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
