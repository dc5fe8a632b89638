#ifndef HEADER_OriginLinks
#define HEADER_OriginLinks
/**
 * DOC: OriginLinks
 *
 * What the modules that find out which version began a stream
 * (OriginKeeper.h) need of the rest of the router: a table of functions, and
 * what is common to all messages. Messages may be lost.
 */
#include "AskedRouters.h"
#include "Counters.h"
#include "RequestDigest.h"
#include "peer.pb-c.h"

/** Owners of each stream. Of 8 routers with 3 killed at once, all owners of 1
 * in 56 streams are among them. */
#define ORIGIN_OWNERS 3

/** Routers that are asked if no reachable router can read the list, of which
 * most must agree: owners and those ranked next */
#define ORIGIN_WITNESSES 8

/** Routers, without this one, that are all asked for a stream that may have
 * begun before other versions joined; with more such streams are unknown */
#define ORIGIN_ROUTERS_MAX ASKED_ROUTERS_MAX

/** Identity of this router among the owners */
#define ORIGIN_SELF 0

/**
 * struct OriginLinksClass_t - functions of the transport
 * @find_owners: finds the owners of a stream, and the routers ranked next up
 *     to @max, the same on all routers that know the same routers; returns
 *     their number
 * @send: sends a message, which may be lost
 * @schedule_tick: schedules a call of OriginKeeper_tick() after at most @in_ms
 * @is_list_current: returns whether the list of upstreams is up to date, but
 *     for the versions of the last seconds
 * @list_ms: returns when the end of the list was last known, monotonic
 * @check_list: has the end of the list read soon; called until it is known
 * @is_store_lost: returns whether this router failed to read the list
 * @learn: reads which services had several versions before this router
 * started, see SoftwareVersions_learn(), and the streams that routers began
 * before; @is_urgent: a caller waits
 * @record: the streams that OriginKeeper_forEachRecorded() finds have changed
 * @find_all: finds all other routers whose addresses are known, at most @max;
 *     returns their number, or more than @max
 * @is_settled: returns whether this router has had time to learn of the others
 * @read_records: has the records of all routers read again soon; called until
 *     they are
 */
typedef struct {
    guint (*find_owners)(void *owner, const RequestDigest_t *digest,
                         guint64 *out, guint max);
    void (*send)(void *owner, guint64 router, const Wt__PeerMessage *message);
    void (*schedule_tick)(void *owner, gint64 in_ms);
    gboolean (*is_list_current)(void *owner);
    gint64 (*list_ms)(void *owner);
    void (*check_list)(void *owner);
    gboolean (*is_store_lost)(void *owner);
    void (*learn)(void *owner, gboolean is_urgent);
    void (*record)(void *owner);
    guint (*find_all)(void *owner, AskedRouter_t *out, guint max);
    gboolean (*is_settled)(void *owner);
    void (*read_records)(void *owner);
} OriginLinksClass_t;

/**
 * struct OriginLinks_t - the functions with what they need
 * @class: the functions
 * @owner: their first argument
 * @counters: counters of messages and answers
 */
typedef struct {
    const OriginLinksClass_t *class;
    void *owner;
    Counters_t *counters;
} OriginLinks_t;

/** OriginLinks_send() - send a message, which may be lost, and count it */
void OriginLinks_send(const OriginLinks_t *this, guint64 router,
                      const Wt__PeerMessage *message);

/**
 * OriginLinks_findOthers() - find the routers ranked first for a stream, but
 * for this one
 * @out: their identities
 * @max: how many are ranked, with this one; at most ORIGIN_WITNESSES
 *
 * Return: their number
 */
guint OriginLinks_findOthers(const OriginLinks_t *this,
                             const RequestDigest_t *digest, guint64 *out,
                             guint max);

/** OriginLinks_readDigest() - read the digest of a message; FALSE if its
 * length is wrong */
gboolean OriginLinks_readDigest(const ProtobufCBinaryData *bytes,
                                RequestDigest_t *out);

/** OriginLinks_isName() - whether a text of a message may be the name of a
 * service or version */
gboolean OriginLinks_isName(const char *name);

#endif
