#ifndef HEADER_MemberTable
#define HEADER_MemberTable
/**
 * DOC: MemberTable
 *
 * This router and all others that are alive, as far as is known, and the
 * order in which rendezvous hashing puts them for a key.
 */
#include <glib.h>

#include "KeyTable.h"
#include "PeerLink.h"

/**
 * struct Member_t - one router
 * @name: its name
 * @incarnation: newest that was heard of
 * @address: where it listens for peers
 * @hall: where it stands
 * @placed_incarnation: whose address and hall these are; 0 for none yet
 * @heartbeat: newest that was heard of
 * @heard_ms: when @heartbeat last grew
 * @leaving: it stops; never taken back for an incarnation
 * @fold_offset: configuration in force there
 * @news: place of its newest news among those of all, 0 for none
 * (MemberNews.h)
 * @told: news up to this place were sent over @link
 * @sampled: routers that were told of over @link without telling it all
 * @link: open link, or NULL
 * @asked: it made @link, and needs what this router tells
 * @unanswered_until_ms: it did not answer a datagram; it is sent none before
 */
typedef struct {
    GString *name;
    guint64 incarnation;
    Address_t address;
    GString *hall;
    guint64 placed_incarnation;
    guint64 heartbeat;
    gint64 heard_ms;
    gboolean leaving;
    guint64 fold_offset;
    guint64 news;
    guint64 told;
    guint sampled;
    PeerLink_t *link;
    gboolean asked;
    gint64 unanswered_until_ms;
} Member_t;

/**
 * struct MemberTable_t - the routers
 * @self: this one
 * @by_name: name to Member_t of all others
 * @live: the same, Member_t by name
 * @linked: scratch of MemberTable_linked()
 * @unnamed: that have joined since the last line of counts
 */
typedef struct {
    Member_t self;
    GHashTable *by_name;
    GPtrArray *live;
    GPtrArray *linked;
    guint unnamed;
} MemberTable_t;

/** MemberTable_create() - only this router */
MemberTable_t *MemberTable_create(const char *name, const char *hall,
                                  guint64 incarnation);

/** MemberTable_destroy() - close all links and free it */
void MemberTable_destroy(MemberTable_t *this);

/** MemberTable_find() - another router, or NULL */
Member_t *MemberTable_find(const MemberTable_t *this, const char *name);

/** MemberTable_findOrMake() - another router, new where it was unknown */
Member_t *MemberTable_findOrMake(MemberTable_t *this, const char *name);

/** MemberTable_findLink() - whose link it is, or NULL */
Member_t *MemberTable_findLink(const MemberTable_t *this,
                               const PeerLink_t *link);

/** MemberTable_logUnnamed() - one line for the routers that have joined beyond
 * those that are named in lines of their own */
void MemberTable_logUnnamed(MemberTable_t *this);

/** MemberTable_expire() - forget who was not heard of for so long */
void MemberTable_expire(MemberTable_t *this, gint64 silence_ms);

/** MEMBER_TABLE_FED - linked routers that are told all news where not all are
 * linked with all: two more than a router makes links, so that each is told by
 * several others. With 16 the allowance for a start was spent when 234 of 295
 * routers were known */
#define MEMBER_TABLE_FED 8

/**
 * MemberTable_linked() - the linked routers, those that are told all news
 * first
 *
 * Some of these are of this router's hall as far as there are any, and some
 * of others, so that news crosses between halls over few links. In either
 * part those that made the link come first: each router makes some, so that
 * none is left without news. In the order of names from this router on, they
 * stay the same while links do.
 *
 * Return: Member_t *, valid until the next call
 */
const GPtrArray *MemberTable_linked(MemberTable_t *this);

/** MemberTable_isOfHall() - whether a router stands in this one's hall */
gboolean MemberTable_isOfHall(const MemberTable_t *this,
                              const Member_t *member);

/** MemberTable_placed() - others of which it is known where they listen */
guint MemberTable_placed(const MemberTable_t *this);

/** MemberTable_links() - open links */
guint MemberTable_links(const MemberTable_t *this);

/** MemberTable_liveCount() - routers that are not leaving, this one included
 */
guint MemberTable_liveCount(const MemberTable_t *this);

/** MemberTable_owner() - the first in a key's order; NULL for this router */
Member_t *MemberTable_owner(const MemberTable_t *this, const char *key);

/** MemberTable_answering() - the same among those that answer datagrams */
Member_t *MemberTable_answering(const MemberTable_t *this, const char *key,
                                gint64 now_ms);

/**
 * MemberTable_first() - the first in a key's order
 * @out: of the routers that are not leaving; NULL for this one
 * @most: that @out has room for
 *
 * Return: how many
 */
guint MemberTable_first(const MemberTable_t *this, const char *key,
                        const Member_t **out, guint most);

/** MemberTable_rank() - this router's place in a key's order, of a hall or
 * of all */
guint MemberTable_rank(const MemberTable_t *this, const char *key,
                       const char *hall);

#endif
