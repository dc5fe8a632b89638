#ifndef HEADER_ConnectionOptions
#define HEADER_ConnectionOptions
/**
 * DOC: ConnectionOptions
 *
 * Removes the fields that a message's Connection fields name (RFC 9110,
 * section 7.6.1), as they concern the connection that it came on only. Those
 * that frame the message or name its target stay, and those that routers set
 * for each other.
 */
#include <event2/keyvalq_struct.h>

/**
 * ConnectionOptions_strip() - remove the fields that are named
 * @kept: names of more fields that stay, ended by NULL
 *
 * The Connection fields themselves stay.
 */
void ConnectionOptions_strip(struct evkeyvalq *headers,
                             const char *const *kept);

#endif
