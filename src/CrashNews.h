#ifndef HEADER_CrashNews
#define HEADER_CrashNews
/**
 * DOC: CrashNews
 *
 * Brings what is known of crashes (CrashTable.h) to all routers. A request is
 * named as having news and read when it is told, so that a newer state takes
 * the place of an older one; each router passes on what is news to it, and a
 * new link is told all. It does not matter in which order or how often
 * something comes.
 *
 * Load pattern: a request ends engine after engine, a tenth of a second apart,
 * at any router: what one learns must be known to all within that. Where a
 * third of 12,000 engines is lost at once, each with some thirty requests, it
 * would be 120,000 facts for each router: so many are told in each turn, those
 * of requests with two crashes and more first.
 */
#include "CrashTable.h"
#include "Membership.h"

/**
 * struct CrashNewsEvents_t - what it tells its owner
 * @changed: a peer's word has changed what is known of a request
 */
typedef struct {
    void (*changed)(void *owner, const RequestDigest_t *digest,
                    CrashChange_t change);
} CrashNewsEvents_t;

/** struct CrashNews_t - opaque */
typedef struct CrashNews CrashNews_t;

/** CrashNews_create() - nothing to tell; @table and @membership must outlive
 * it */
CrashNews_t *CrashNews_create(struct event_base *base,
                              Membership_t *membership, CrashTable_t *table,
                              const CrashNewsEvents_t *events, void *owner);

/** CrashNews_destroy() - free it */
void CrashNews_destroy(CrashNews_t *this);

/** CrashNews_tell() - there is news of a request */
void CrashNews_tell(CrashNews_t *this, const RequestDigest_t *digest);

/** CrashNews_tellAlive() - an upstream has not ended after all */
void CrashNews_tellAlive(CrashNews_t *this, guint64 crash);

/**
 * CrashNews_introduce() - tell a router that was linked just now all
 * @is_complete: this router knows what is kept on the store
 */
void CrashNews_introduce(CrashNews_t *this, Member_t *member,
                         gboolean is_complete);

/** CrashNews_take() - a peer's message */
void CrashNews_take(CrashNews_t *this, const Wt__CrashNews *message);

/** CrashNews_write() - an entry as a message; @out and @ids are its room */
void CrashNews_write(const CrashEntry_t *entry, Wt__CrashFact *out,
                     guint64 ids[CRASHES_OF_ONE]);

/** CrashNews_read() - put a message into a table
 * @at_ms: when its last crash was, monotonic */
CrashChange_t CrashNews_read(CrashTable_t *table, const Wt__CrashFact *fact,
                             gint64 at_ms);

#endif
