#include "RouteQueries.h"

#include <string.h>

struct RouteQueries {
    RouteQueriesSpec_t spec;
};

RouteQueries_t *
RouteQueries_create(const RouteQueriesSpec_t *spec)
{
    RouteQueries_t *this = g_new0(RouteQueries_t, 1);
    this->spec = *spec;
    return this;
}

void
RouteQueries_destroy(RouteQueries_t *this)
{
    g_free(this);
}

static Member_t *
find_peer(const RouteQueries_t *this, const char *name)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; name && i < members->len; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        if (strcmp(member->name->str, name) == 0) {
            return member;
        }
    }
    return NULL;
}

gboolean
RouteQueries_isTransferring(const RouteQueries_t *this)
{
    const char *queried = CatchUp_queriedPeer(this->spec.catch_up);
    const Member_t *peer = find_peer(this, queried);
    gboolean is_receiving =
        peer && peer->link && PeerLink_isReceiving(peer->link);
    return CatchUp_isTransferring(this->spec.catch_up, is_receiving);
}

gboolean
RouteQueries_send(RouteQueries_t *this, Member_t *peer)
{
    StorePosition_t known = {0};
    guint64 version = 0;
    if (RouteQueries_isTransferring(this)) {
        return TRUE;
    }
    this->spec.known(this->spec.owner, &known, &version);
    gboolean sent =
        RecordRelay_sendQuery(this->spec.relay, peer, known, version, TRUE);
    if (sent) {
        CatchUp_noteQuery(this->spec.catch_up, peer->name->str);
    }
    return sent;
}

void
RouteQueries_sendToAny(RouteQueries_t *this)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; i < members->len; i++) {
        if (RouteQueries_send(this, g_ptr_array_index(members, i))) {
            return;
        }
    }
}

void
RouteQueries_sendNext(RouteQueries_t *this)
{
    StorePosition_t known = {0};
    guint64 version = 0;
    const char *name = CatchUp_nextSource(this->spec.catch_up);
    Member_t *peer = find_peer(this, name);
    this->spec.known(this->spec.owner, &known, &version);
    if (peer && known.offset > 0) {
        RouteQueries_send(this, peer);
    }
}
