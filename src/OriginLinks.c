#include "OriginLinks.h"

#include <string.h>

/* Longest name of a service or version that is accepted, in bytes. */
#define NAME_MAX_BYTES 255

void
OriginLinks_send(const OriginLinks_t *this, guint64 router,
                 const Wt__PeerMessage *message)
{
    this->class->send(this->owner, router, message);
    Counters_add(this->counters, "origin_messages_total", NULL, 1);
}

guint
OriginLinks_findOthers(const OriginLinks_t *this,
                       const RequestDigest_t *digest, guint64 *out, guint max)
{
    guint64 owners[ORIGIN_WITNESSES];
    guint others = 0;
    guint found = this->class->find_owners(this->owner, digest, owners,
                                           MIN(max, ORIGIN_WITNESSES));
    for (guint i = 0; i < found; i++) {
        if (owners[i] != ORIGIN_SELF) {
            out[others++] = owners[i];
        }
    }
    return others;
}

gboolean
OriginLinks_readDigest(const ProtobufCBinaryData *bytes, RequestDigest_t *out)
{
    if (bytes->len != sizeof(out->bytes)) {
        return FALSE;
    }
    memcpy(out->bytes, bytes->data, sizeof(out->bytes));
    return TRUE;
}

gboolean
OriginLinks_isName(const char *name)
{
    return *name != '\0' && strlen(name) <= NAME_MAX_BYTES;
}
