#include "PeerIdentity.h"

#include "PeerDatagrams.h"

/* Low bits of an identity, which hold the port; the bits above hold the IP
 * address. */
#define PORT_BITS 16

guint64
PeerIdentity_ofAddress(const struct sockaddr_in *address)
{
    return (guint64)address->sin_addr.s_addr << PORT_BITS | address->sin_port;
}

struct sockaddr_in
PeerIdentity_address(guint64 identity)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = (in_addr_t)(identity >> PORT_BITS);
    address.sin_port = (in_port_t)(identity & G_MAXUINT16);
    return address;
}

guint64
PeerIdentity_ofMember(const Member_t *member)
{
    struct sockaddr_in address = PeerDatagrams_toSockaddr(&member->address);
    return PeerIdentity_ofAddress(&address);
}
