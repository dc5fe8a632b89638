#include "ResetOnClose.h"

#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/socket.h>

static GHashTable *connections; /* struct evhttp_connection, not owned */

static struct bufferevent *
bufferevent_of(struct evhttp_connection *connection)
{
    return evhttp_connection_get_bufferevent(connection);
}

static void
set_linger(struct evhttp_connection *connection, gboolean resets)
{
    struct linger linger = {.l_onoff = resets, .l_linger = 0};
    evutil_socket_t fd = bufferevent_getfd(bufferevent_of(connection));
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
}

void
ResetOnClose_add(struct evhttp_connection *connection)
{
    if (!connections) {
        connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    g_hash_table_add(connections, connection);
    set_linger(connection, TRUE);
}

static gboolean
remove_connection(struct evhttp_connection *connection)
{
    return connections && g_hash_table_remove(connections, connection);
}

void
ResetOnClose_remove(struct evhttp_connection *connection)
{
    if (remove_connection(connection)) {
        set_linger(connection, FALSE);
    }
}

void
ResetOnClose_forget(struct evhttp_connection *connection)
{
    remove_connection(connection);
}

/* evhttp shuts a connection down before it closes it, which is an orderly end.
 */
static void
reset(struct evhttp_connection *connection)
{
    struct bufferevent *bev = bufferevent_of(connection);
    evutil_socket_t fd = bufferevent_getfd(bev);
    if (fd >= 0) {
        bufferevent_setfd(bev, -1);
        evutil_closesocket(fd);
    }
}

void
ResetOnClose_close(struct evhttp_connection *connection)
{
    if (remove_connection(connection)) {
        reset(connection);
    }
    evhttp_connection_free(connection);
}

static void
reset_entry(gpointer connection, gpointer value, gpointer user)
{
    (void)value;
    (void)user;
    reset(connection);
}

void
ResetOnClose_resetAll(void)
{
    if (connections) {
        g_hash_table_foreach(connections, reset_entry, NULL);
        g_hash_table_destroy(connections);
        connections = NULL;
    }
}
