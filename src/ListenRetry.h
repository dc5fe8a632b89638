#ifndef HEADER_ListenRetry
#define HEADER_ListenRetry
/**
 * DOC: ListenRetry
 *
 * Opens a listening socket, and waits a bounded time for an address that is in
 * use. A supervisor may start a router while the one before is still ending.
 */
#include <glib.h>

#include "Settings.h"

/** Longest wait for one address. Covers the stop of a router whose stop_limit
 * is no longer than this. */
#define LISTEN_WAIT_MAX_MS 10000

/** Connections that the kernel makes while the router does not accept; the
 * kernel's own limit, net.core.somaxconn, may be lower. */
#define LISTEN_BACKLOG 4096

/**
 * struct ListenRetry_t - parameters
 * @setting: name of the setting that holds the address, for log lines
 * @address: the address
 * @open: tries once; returns FALSE with errno set if it failed
 * @owner: argument of @open
 */
typedef struct {
    const char *setting;
    const Address_t *address;
    gboolean (*open)(void *owner);
    void *owner;
} ListenRetry_t;

/**
 * ListenRetry_run() - call @open until it succeeds
 *
 * Blocks. Gives up at once if the address can't be bound at all, and early if
 * the router is told to stop.
 */
gboolean ListenRetry_run(const ListenRetry_t *this, GError **error);

/** ListenRetry_tryOnce() - call @open once */
gboolean ListenRetry_tryOnce(const ListenRetry_t *this, GError **error);

#endif
