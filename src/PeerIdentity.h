#ifndef HEADER_PeerIdentity
#define HEADER_PeerIdentity
/**
 * DOC: PeerIdentity
 *
 * Number that identifies a router among those that exchange datagrams: its IP
 * address and port. 0 identifies no router.
 */
#include <netinet/in.h>

#include "MemberTable.h"

/** PeerIdentity_ofAddress() - identity of the router at an address */
guint64 PeerIdentity_ofAddress(const struct sockaddr_in *address);

/** PeerIdentity_address() - address of a router */
struct sockaddr_in PeerIdentity_address(guint64 identity);

/** PeerIdentity_ofMember() - identity of a member */
guint64 PeerIdentity_ofMember(const Member_t *member);

#endif
