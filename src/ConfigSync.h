#ifndef HEADER_ConfigSync
#define HEADER_ConfigSync
/**
 * DOC: ConfigSync
 *
 * Configuration between routers: who lags behind a peer asks it for what
 * follows, so that a router that is cut off from the log, or starts while it
 * is slow, still has what is in force. It also says which routers of a hall
 * read the log themselves and who appends snapshots.
 */
#include <event2/event.h>

#include "ConfigLog.h"
#include "Membership.h"

/** Routers of a hall that read the log themselves */
#define CONFIG_READERS 2

/** struct ConfigSync_t - opaque */
typedef struct ConfigSync ConfigSync_t;

/** ConfigSync_create() - all parts must outlive it */
ConfigSync_t *ConfigSync_create(struct event_base *base,
                                const Settings_t *settings,
                                ConfigStore_t *store, ConfigLog_t *log,
                                Membership_t *membership);

/** ConfigSync_destroy() - free it */
void ConfigSync_destroy(ConfigSync_t *this);

/** ConfigSync_take() - a ConfigPull or ConfigPush came */
void ConfigSync_take(ConfigSync_t *this, Member_t *from,
                     const Wt__PeerMessage *message);

#endif
