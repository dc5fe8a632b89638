#ifndef HEADER_Membership
#define HEADER_Membership
/**
 * DOC: Membership
 *
 * The links to other routers: it finds them by seeds and by what others tell
 * (MemberTable.h), and lets gossip flow (Gossip.h). It is a hint throughout:
 * no promise rests on it, only how soon and how cheaply things happen.
 */
#include <event2/event.h>
#include <glib.h>

#include "Counters.h"
#include "MemberTable.h"
#include "PeerLink.h"
#include "Settings.h"
#include "UpstreamSet.h"

/**
 * struct MembershipSpec_t - what it needs
 * @settings: of this router
 * @incarnation: of this process
 * @upstreams: learns from gossip, and is read for it
 * @counters: for bytes sent
 * @message: called for each message that is not about membership
 * @linked: called for each new link to a router; may be NULL
 * @data: for both
 */
typedef struct {
    const Settings_t *settings;
    guint64 incarnation;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    void (*message)(void *data, Member_t *from,
                    const Wt__PeerMessage *message);
    void (*linked)(void *data, Member_t *member);
    void *data;
} MembershipSpec_t;

/** struct Membership_t - opaque */
typedef struct Membership Membership_t;

/** Membership_create() - listen and start to look for peers */
Membership_t *Membership_create(struct event_base *base,
                                const MembershipSpec_t *spec, GError **error);

/** Membership_destroy() - close all links and free it */
void Membership_destroy(Membership_t *this);

/** Membership_port() - where it listens */
guint16 Membership_port(const Membership_t *this);

/** Membership_addSeed() - an address where a router may listen */
void Membership_addSeed(Membership_t *this, const Address_t *address);

/** Membership_setOffset() - the configuration in force here */
void Membership_setOffset(Membership_t *this, guint64 fold_offset);

/** Membership_setLeaving() - this router stops */
void Membership_setLeaving(Membership_t *this);

/** Membership_noteUpstream() - there is news of an upstream here */
void Membership_noteUpstream(Membership_t *this, const char *name);

/** Membership_members() - Member_t of all others that are alive, by name */
const GPtrArray *Membership_members(const Membership_t *this);

/** Membership_live() - routers that are alive and not leaving, this one
 * included */
guint Membership_live(const Membership_t *this);

/**
 * Membership_isSettled() - whether this router has had time to learn of the
 * others
 *
 * Before, each router would be the first in rank and take work that one does
 * for all. Once true it stays so.
 */
gboolean Membership_isSettled(const Membership_t *this);

/**
 * Membership_isComplete() - whether this router seems to know all others
 *
 * For work that costs too much where several do it, and can wait a second.
 */
gboolean Membership_isComplete(const Membership_t *this);

/** Membership_isMesh() - whether all routers are linked with all */
gboolean Membership_isMesh(const Membership_t *this);

/**
 * Membership_owner() - the router that rendezvous hashing puts first
 * @key: of what is owned
 *
 * Return: NULL for this one
 */
Member_t *Membership_owner(const Membership_t *this, const char *key);

/** Membership_answering() - the same among those that answer datagrams */
Member_t *Membership_answering(const Membership_t *this, const char *key,
                               gint64 now_ms);

/** Membership_first() - the first in a key's order; see MemberTable_first() */
guint Membership_first(const Membership_t *this, const char *key,
                       const Member_t **out, guint most);

/** Membership_noteUnanswered() - a member is sent no datagrams until then */
void Membership_noteUnanswered(Membership_t *this, const char *name,
                               gint64 until_ms);

/** Membership_address() - where this router listens for peers */
const Address_t *Membership_address(const Membership_t *this);

/** Membership_hall() - where this router stands */
const char *Membership_hall(const Membership_t *this);

/** Membership_key() - under which peers speak */
GBytes *Membership_key(const Membership_t *this);

/**
 * Membership_rank() - this router's place in a key's order
 * @hall: among those of this hall only; NULL for all
 */
guint Membership_rank(const Membership_t *this, const char *key,
                      const char *hall);

/** Membership_send() - send to a member; FALSE where there is no link */
gboolean Membership_send(Membership_t *this, Member_t *member,
                         const Wt__PeerMessage *message);

/** Membership_sendAll() - send to all members that are linked where all are
 * linked with all, else to as many as pass news on to everyone */
void Membership_sendAll(Membership_t *this, const Wt__PeerMessage *message);

#endif
