#include "testing.h"

#include <string.h>

#include "ForwardProof.h"

static GBytes *
create_key(char byte)
{
    char bytes[32];
    memset(bytes, byte, sizeof(bytes));
    return g_bytes_new(bytes, sizeof(bytes));
}

START_TEST(routers_with_the_same_key_have_the_same_proof)
{
    GBytes *key = create_key('a');
    char one[FORWARD_PROOF_LENGTH + 1];
    char two[FORWARD_PROOF_LENGTH + 1];
    ForwardProof_make(key, one);
    ForwardProof_make(key, two);
    ck_assert_uint_eq(strlen(one), FORWARD_PROOF_LENGTH);
    ck_assert(ForwardProof_isValid(one, two));
    g_bytes_unref(key);
}
END_TEST

START_TEST(other_texts_are_no_proof)
{
    GBytes *key = create_key('a');
    GBytes *other_key = create_key('b');
    char proof[FORWARD_PROOF_LENGTH + 1];
    char other[FORWARD_PROOF_LENGTH + 2] = "";
    ForwardProof_make(key, proof);
    ForwardProof_make(other_key, other);
    ck_assert(!ForwardProof_isValid(proof, other));
    ck_assert(!ForwardProof_isValid(proof, ""));
    ck_assert(!ForwardProof_isValid(proof, "r1"));
    memcpy(other, proof, sizeof(proof));
    other[FORWARD_PROOF_LENGTH - 1] ^= 1;
    ck_assert(!ForwardProof_isValid(proof, other));
    memcpy(other, proof, sizeof(proof));
    other[FORWARD_PROOF_LENGTH] = '0';
    ck_assert(!ForwardProof_isValid(proof, other));
    g_bytes_unref(key);
    g_bytes_unref(other_key);
}
END_TEST

TESTING_MAIN("ForwardProof", routers_with_the_same_key_have_the_same_proof,
             other_texts_are_no_proof)
