#ifndef HEADER_AskedRouters
#define HEADER_AskedRouters
/**
 * DOC: AskedRouters
 *
 * The routers that are asked one question by datagrams, which may be lost:
 * which of them are sent it now, and which have not replied. Each router is
 * sent it at most twice; one that starts again meanwhile counts as another.
 */
#include <glib.h>

/** Routers that are asked one question at most */
#define ASKED_ROUTERS_MAX 63

/**
 * struct AskedRouter_t - a router that can be asked
 * @router: identity, see PeerIdentity.h
 * @start: number of its process, which grows; 0 if it is not known
 */
typedef struct {
    guint64 router;
    guint64 start;
} AskedRouter_t;

/** struct AskedRouters_t - opaque */
typedef struct AskedRouters AskedRouters_t;

/** AskedRouters_create() - create an empty set; a router that has not replied
 * @repeat_ms after the question was sent is sent it once more */
AskedRouters_t *AskedRouters_create(gint64 repeat_ms);

/** AskedRouters_destroy() - free it */
void AskedRouters_destroy(AskedRouters_t *this);

/** AskedRouters_clear() - forget all routers and their replies */
void AskedRouters_clear(AskedRouters_t *this);

/**
 * AskedRouters_add() - ask a router
 * @send_ms: when it is sent the question, monotonic
 *
 * Return: FALSE if it is asked already and has not started again, or if too
 * many are
 */
gboolean AskedRouters_add(AskedRouters_t *this, const AskedRouter_t *router,
                          gint64 send_ms);

/** AskedRouters_hurry() - routers that were not sent the question yet are sent
 * it now */
void AskedRouters_hurry(AskedRouters_t *this, gint64 now_ms);

/**
 * AskedRouters_takeDue() - the routers that are to be sent the question now;
 * they count as being sent it
 * @out: their identities, ASKED_ROUTERS_MAX
 *
 * Return: their number
 */
guint AskedRouters_takeDue(AskedRouters_t *this, gint64 now_ms, guint64 *out);

/** AskedRouters_dueMs() - when the next router is to be sent the question,
 * monotonic; G_MAXINT64 for never */
gint64 AskedRouters_dueMs(const AskedRouters_t *this);

/** AskedRouters_noteReply() - a router has replied; FALSE if it was not asked
 * or has replied already */
gboolean AskedRouters_noteReply(AskedRouters_t *this, guint64 router);

/** AskedRouters_count() - number of routers that are asked */
guint AskedRouters_count(const AskedRouters_t *this);

/** AskedRouters_countOpen() - number of those that have not replied */
guint AskedRouters_countOpen(const AskedRouters_t *this);

/** AskedRouters_countReplies() - number of replies */
guint AskedRouters_countReplies(const AskedRouters_t *this);

#endif
