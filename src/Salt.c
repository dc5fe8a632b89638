#include "Salt.h"

#include <sodium.h>
#include <string.h>

/* Hashes the terminating NUL too, so that "ab" and "c" differ from "a" and
 * "bc". */
static void
add_text(crypto_generichash_state *state, const char *text)
{
    crypto_generichash_update(state, (const guint8 *)text, strlen(text) + 1);
}

guint64
Salt_make(const SaltInput_t *input, GBytes *key, char out[SALT_LENGTH + 1])
{
    guint8 hash[SALT_LENGTH / 2];
    crypto_generichash_state state;
    gsize key_length = 0;
    const guint8 *key_bytes = g_bytes_get_data(key, &key_length);
    crypto_generichash_init(&state, key_bytes, key_length, sizeof(hash));
    add_text(&state, input->customer);
    add_text(&state, input->model);
    add_text(&state, input->weights);
    add_text(&state, input->adapter);
    add_text(&state, input->adapter_weights);
    crypto_generichash_final(&state, hash, sizeof(hash));
    sodium_bin2hex(out, SALT_LENGTH + 1, hash, sizeof(hash));
    guint64 seed = 0;
    memcpy(&seed, hash, sizeof(seed));
    return seed;
}
