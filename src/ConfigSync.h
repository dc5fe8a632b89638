#ifndef HEADER_ConfigSync
#define HEADER_ConfigSync
/**
 * DOC: ConfigSync
 *
 * Replicates the configuration between routers. A router whose fold offset is
 * behind a peer's pulls the missing records from that peer, so that it has the
 * current configuration even if it can't reach the log, or starts while the
 * log is slow. This module also decides which routers of a hall read the log
 * themselves and which router appends snapshots.
 */
#include <event2/event.h>

#include "ConfigLog.h"
#include "Membership.h"

/** Number of routers in each hall that read the log themselves; the others
 * get its records from peers */
#define CONFIG_READERS_PER_HALL 2

/** struct ConfigSync_t - opaque */
typedef struct ConfigSync ConfigSync_t;

/** ConfigSync_create() - start to replicate; all arguments must outlive the
 * returned object */
ConfigSync_t *ConfigSync_create(struct event_base *base,
                                const Settings_t *settings,
                                ConfigStore_t *store, ConfigLog_t *log,
                                Membership_t *membership);

void ConfigSync_destroy(ConfigSync_t *this);

/** ConfigSync_receive() - handle a peer's ConfigPull or ConfigPush */
void ConfigSync_receive(ConfigSync_t *this, Member_t *from,
                        const Wt__PeerMessage *message);

#endif
