#include "AskedRouters.h"

/* A lost datagram is sent again once. */
#define SENDS 2

typedef struct {
    AskedRouter_t super;
    guint sends_left;
    gint64 send_ms;
    gboolean is_open; /* it has not replied */
} Asked_t;

struct AskedRouters {
    gint64 repeat_ms;
    Asked_t asked[ASKED_ROUTERS_MAX];
    guint count;
    guint open;
    guint replies;
};

AskedRouters_t *
AskedRouters_create(gint64 repeat_ms)
{
    AskedRouters_t *this = g_new0(AskedRouters_t, 1);
    this->repeat_ms = repeat_ms;
    return this;
}

void
AskedRouters_destroy(AskedRouters_t *this)
{
    g_free(this);
}

void
AskedRouters_clear(AskedRouters_t *this)
{
    this->count = 0;
    this->open = 0;
    this->replies = 0;
}

static Asked_t *
find(AskedRouters_t *this, guint64 router)
{
    for (guint i = 0; i < this->count; i++) {
        if (this->asked[i].super.router == router) {
            return &this->asked[i];
        }
    }
    return NULL;
}

static void
open_question(AskedRouters_t *this, Asked_t *asked, gint64 send_ms)
{
    this->open += asked->is_open ? 0 : 1;
    asked->is_open = TRUE;
    asked->sends_left = SENDS;
    asked->send_ms = send_ms;
}

/* A start that was not known before says nothing of another one. */
static gboolean
ask_again(AskedRouters_t *this, Asked_t *asked, guint64 start, gint64 send_ms)
{
    gboolean has_restarted =
        asked->super.start != 0 && start > asked->super.start;
    asked->super.start = MAX(asked->super.start, start);
    if (has_restarted) {
        open_question(this, asked, send_ms);
    }
    return has_restarted;
}

gboolean
AskedRouters_add(AskedRouters_t *this, const AskedRouter_t *router,
                 gint64 send_ms)
{
    Asked_t *asked = find(this, router->router);
    if (asked) {
        return ask_again(this, asked, router->start, send_ms);
    }
    if (this->count == ASKED_ROUTERS_MAX) {
        return FALSE;
    }
    asked = &this->asked[this->count++];
    *asked = (Asked_t){.super = *router};
    open_question(this, asked, send_ms);
    return TRUE;
}

void
AskedRouters_hurry(AskedRouters_t *this, gint64 now_ms)
{
    for (guint i = 0; i < this->count; i++) {
        Asked_t *asked = &this->asked[i];
        if (asked->sends_left == SENDS) {
            asked->send_ms = MIN(asked->send_ms, now_ms);
        }
    }
}

guint
AskedRouters_takeDue(AskedRouters_t *this, gint64 now_ms, guint64 *out)
{
    guint due = 0;
    for (guint i = 0; i < this->count; i++) {
        Asked_t *asked = &this->asked[i];
        if (asked->is_open && asked->sends_left > 0 &&
            now_ms >= asked->send_ms) {
            asked->sends_left--;
            asked->send_ms = now_ms + this->repeat_ms;
            out[due++] = asked->super.router;
        }
    }
    return due;
}

gint64
AskedRouters_dueMs(const AskedRouters_t *this)
{
    gint64 due_ms = G_MAXINT64;
    for (guint i = 0; i < this->count; i++) {
        const Asked_t *asked = &this->asked[i];
        if (asked->is_open && asked->sends_left > 0) {
            due_ms = MIN(due_ms, asked->send_ms);
        }
    }
    return due_ms;
}

gboolean
AskedRouters_noteReply(AskedRouters_t *this, guint64 router)
{
    Asked_t *asked = find(this, router);
    if (!asked || !asked->is_open) {
        return FALSE;
    }
    asked->is_open = FALSE;
    this->open--;
    this->replies++;
    return TRUE;
}

guint
AskedRouters_count(const AskedRouters_t *this)
{
    return this->count;
}

guint
AskedRouters_countOpen(const AskedRouters_t *this)
{
    return this->open;
}

guint
AskedRouters_countReplies(const AskedRouters_t *this)
{
    return this->replies;
}
