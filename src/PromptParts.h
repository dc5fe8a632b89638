#ifndef HEADER_PromptParts
#define HEADER_PromptParts
/**
 * DOC: PromptParts
 *
 * The parts of a request's prompt that other requests may have too, by the
 * identities that callers declare, and their digests. Customers whose prompts
 * share cached parts share the digests; those of any other customer are its
 * own.
 */
#include "RequestDigest.h"

/** Most parts of a prompt that are told apart */
#define PROMPT_PARTS_MAX 64
/** Longest identity of a part in hex, in characters */
#define PART_ID_TEXT 16

/**
 * struct PartKey_t - one part
 * @digest: keyed hash of @id and of the customers that share it
 * @id: identity that the caller declared
 * @depth: position in the prompt, 0 for the first part
 */
typedef struct {
    RequestDigest_t digest;
    guint64 id;
    guint depth;
} PartKey_t;

/**
 * struct PromptParts_t - the parts that a request declares
 * @customer: the only customer whose requests share the parts; empty if they
 *     are shared by customers
 * @ids: identities in the order of the prompt, without those that no other
 *     request has
 * @count: number of @ids
 */
typedef struct {
    const char *customer;
    const guint64 *ids;
    guint count;
} PromptParts_t;

/** PromptParts_makeKeys() - PartKey_t of each part; the caller drops its
 * reference to the array */
GArray *PromptParts_makeKeys(const PromptParts_t *parts, GBytes *key);

/** PromptParts_describe() - the identities in hex, separated by commas, for
 * logs; the caller frees the text */
GString *PromptParts_describe(const GArray *keys);

#endif
