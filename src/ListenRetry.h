#ifndef HEADER_ListenRetry
#define HEADER_ListenRetry
/**
 * DOC: ListenRetry
 *
 * Opens a socket with an address of the settings. The address may be in use
 * for a while, for example while the router before is still ending, so that an
 * error that may pass is no reason to give up.
 */
#include <glib.h>

#include "Settings.h"

/** Interval between log lines while an address can't be bound. */
#define LISTEN_LOG_INTERVAL_MS 10000

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
 * struct ListenWait_t - wait for one address, zero at first
 * @began_ms: when the first attempt failed; 0 if none has
 * @logged_ms: when the wait was last logged
 */
typedef struct {
    gint64 began_ms;
    gint64 logged_ms;
} ListenWait_t;

/**
 * ListenRetry_run() - call @open until it succeeds
 *
 * Blocks. Gives up only if the error can't pass, or if the router is told to
 * stop.
 */
gboolean ListenRetry_run(const ListenRetry_t *this, GError **error);

/**
 * ListenRetry_tryOnce() - call @open once and log the begin and end of a wait
 * @error: set only if the error can't pass
 */
gboolean ListenRetry_tryOnce(const ListenRetry_t *this, ListenWait_t *wait,
                             GError **error);

#endif
