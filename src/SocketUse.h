#ifndef HEADER_SocketUse
#define HEADER_SocketUse
/**
 * DOC: SocketUse
 *
 * Counts what the kernel holds for the sockets of the process as memory in use
 * (MemoryUse.h): bytes that arrived and were not read, and bytes that were
 * written and not acknowledged. While memory is short, resets the connections
 * of callers that hold some and have read nothing for a while, the longest
 * first; what their requests hold elsewhere is freed with them.
 */
#include <event2/event.h>
#include <event2/util.h>
#include <glib.h>

#include "Counters.h"
#include "MemoryUse.h"

/** SOCKET_STALL_TIGHT_MS - time without progress after which a caller may be
 * given up at MEMORY_TIGHT */
#define SOCKET_STALL_TIGHT_MS 3000

/** SOCKET_STALL_FULL_MS - the same at MEMORY_FULL */
#define SOCKET_STALL_FULL_MS 500

/** SOCKET_HELD_MIN - a caller for whom the kernel holds less is not given up
 */
#define SOCKET_HELD_MIN 4096

/**
 * SocketUse_init() - begin without sockets; once per process
 * @memory: outlives the last call of SocketUse_clear()
 * @counters: as @memory
 */
void SocketUse_init(struct event_base *base, MemoryUse_t *memory,
                    Counters_t *counters);

/** SocketUse_clear() - count nothing any more */
void SocketUse_clear(void);

/**
 * SocketUse_watch() - count a socket until it is closed
 * @is_caller: it may be given up
 */
void SocketUse_watch(evutil_socket_t fd, gboolean is_caller);

/** SocketUse_noteAnswered() - what a caller sends from now on is counted by
 * RequestIntake.h, until SocketUse_watch() is called again */
void SocketUse_noteAnswered(evutil_socket_t fd);

/** SocketUse_isGivenUp() - whether a caller's connection was reset, which its
 * owner finds as its end */
gboolean SocketUse_isGivenUp(evutil_socket_t fd);

/** SocketUse_bytes() - bytes in the kernel, as of the last looks */
gsize SocketUse_bytes(void);

/**
 * SocketUse_look() - look at all sockets, and give up callers if need be
 *
 * Called by a timer, for a part of many sockets at a time, if memory could be
 * short with all that the kernel may hold for them.
 */
void SocketUse_look(gint64 now_ms);

/** SocketUse_makeRoom() - SocketUse_look(), unless that was done a short while
 * ago; before a call is refused for want of memory */
void SocketUse_makeRoom(gint64 now_ms);

#endif
