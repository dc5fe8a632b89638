#include "ListExchange.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "PeerAge.h"
#include "Random.h"
#include "RecordRelay.h"

/* Name under which the routers of a hall are ranked for it. */
#define RANK_KEY "list"
/* Each further router in rank begins so much later: a list of 10,000 entries
 * takes a reader about twice that, so that a hall has a few of them. */
#define READER_STEP_MS 500
/* What is looked at again after so long. */
#define LOOK_MS 50
/* A peer that has not answered within this time is left. */
#define ANSWER_MS 600
/* Bytes of a page: 7 ms of a link of 20 Mbit/s, which callers' answers share.
 */
#define PAGE_BYTES 16384
/* Peers that are told pages at the same time, and how long one counts after
 * its last ask. */
#define SERVED_MOST 2
#define SERVED_MS 300
/* The first routers of a hall bring the list into it; the others ask outside
 * of it only where that has taken so long. */
#define FAR_READERS 2
#define FAR_AFTER_MS 1500
/* One in so many of their asks may then leave the own hall. */
#define FAR_PARTS 4

typedef struct {
    GString *name; /* of the router that is told pages */
    gint64 asked_ms;
} Served_t;

struct ListExchange {
    ListExchangeSpec_t spec;
    const ListCopy_t *copy;
    RecordFollower_t *follower;
    struct event *look;
    StorePosition_t end; /* of the copy */
    gint64 at_ms;        /* when the topic ended there; 0 for never */
    gint64 settled_ms;   /* since when ranks are known; 0 where they are not */
    gint64 taken_ms;     /* when a peer's page was last taken */
    gint64 sought_ms;    /* since when a list is sought */
    gint64 asked_ms;     /* when @asked was; 0 for none */
    GString *asked;      /* router that an answer is awaited from */
    Served_t served[SERVED_MOST];
};

static void
count(const ListExchange_t *this, const char *what)
{
    if (this->spec.counters) {
        g_autofree char *labels = g_strdup_printf("topic=\"%s\",what=\"%s\"",
                                                  this->spec.topic, what);
        Counters_add(this->spec.counters, "list_pages_total", labels, 1);
    }
}

static gboolean
is_near(const ListExchange_t *this, const Member_t *member)
{
    return strcmp(member->hall->str, Membership_hall(this->spec.membership)) ==
           0;
}

static Member_t *
find_peer(const ListExchange_t *this, gboolean near)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    guint start = members->len > 0 ? Random_below(members->len) : 0;
    for (guint i = 0; i < members->len; i++) {
        Member_t *member =
            g_ptr_array_index(members, (start + i) % members->len);
        if (member->link && (!near || is_near(this, member))) {
            return member;
        }
    }
    return NULL;
}

/* Bytes between halls are dear, and a list that each router fetched from
 * anywhere would cross as often as there are routers. */
gboolean
ListExchange_mayAsk(const ListExchange_t *this, const Member_t *peer,
                    gint64 waited_ms)
{
    const Membership_t *membership = this->spec.membership;
    if (is_near(this, peer) || waited_ms >= FAR_AFTER_MS) {
        return TRUE;
    }
    return Membership_rank(membership, RANK_KEY, Membership_hall(membership)) <
           FAR_READERS;
}

static Member_t *
pick_peer(const ListExchange_t *this)
{
    gint64 waited_ms = Clock_nowMs() - MAX(this->sought_ms, this->taken_ms);
    gboolean near = Random_below(FAR_PARTS) > 0;
    Member_t *peer = find_peer(this, near);
    peer = peer ? peer : find_peer(this, FALSE);
    return peer && ListExchange_mayAsk(this, peer, waited_ms)
               ? peer
               : find_peer(this, TRUE);
}

static gboolean
ask(ListExchange_t *this, Member_t *peer, const ListPlace_t *place)
{
    Wt__ListAsk body = WT__LIST_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.topic = (char *)this->spec.topic;
    body.epoch = place->from.epoch;
    body.from = place->from.offset;
    body.after = (char *)place->after;
    message.body_case = WT__PEER_MESSAGE__BODY_LIST_ASK;
    message.list_ask = &body;
    if (!Membership_send(this->spec.membership, peer, &message)) {
        return FALSE;
    }
    g_string_assign(this->asked, peer->name->str);
    this->asked_ms = Clock_nowMs();
    return TRUE;
}

static void
seek(ListExchange_t *this)
{
    ListPlace_t place;
    gint64 now_ms = Clock_nowMs();
    if (!RecordFollower_isListing(this->follower)) {
        return;
    }
    Clock_arm(this->look, LOOK_MS);
    if ((this->asked_ms > 0 && now_ms - this->asked_ms < ANSWER_MS) ||
        !RecordFollower_wantsList(this->follower, &place)) {
        return;
    }
    Member_t *peer = pick_peer(this);
    if (peer) {
        ask(this, peer, &place);
    }
}

static void
on_look(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    seek(data);
}

ListExchange_t *
ListExchange_create(struct event_base *base, const ListExchangeSpec_t *spec,
                    const ListCopy_t *copy)
{
    ListExchange_t *this = g_new0(ListExchange_t, 1);
    this->spec = *spec;
    this->copy = copy;
    this->asked = g_string_new(NULL);
    this->look = Clock_timer(base, on_look, this);
    for (guint i = 0; i < SERVED_MOST; i++) {
        this->served[i].name = g_string_new(NULL);
    }
    return this;
}

void
ListExchange_destroy(ListExchange_t *this)
{
    event_free(this->look);
    g_string_free(this->asked, TRUE);
    for (guint i = 0; i < SERVED_MOST; i++) {
        g_string_free(this->served[i].name, TRUE);
    }
    g_free(this);
}

void
ListExchange_follow(ListExchange_t *this, RecordFollower_t *follower)
{
    this->follower = follower;
    ListExchange_seek(this);
}

void
ListExchange_setCurrent(ListExchange_t *this, StorePosition_t end,
                        gint64 at_ms)
{
    this->end = end;
    this->at_ms = at_ms;
}

void
ListExchange_seek(ListExchange_t *this)
{
    if (!evtimer_pending(this->look, NULL)) {
        this->sought_ms = Clock_nowMs();
    }
    Clock_arm(this->look, LOOK_MS);
}

gint64
ListExchange_waitMs(ListExchange_t *this)
{
    gint64 now_ms = Clock_nowMs();
    ListExchange_seek(this);
    if (!Membership_isComplete(this->spec.membership)) {
        return LOOK_MS;
    }
    if (this->settled_ms == 0) {
        this->settled_ms = now_ms;
    }
    const Membership_t *membership = this->spec.membership;
    guint rank =
        Membership_rank(membership, RANK_KEY, Membership_hall(membership));
    gint64 turn_ms = this->settled_ms + (gint64)rank * READER_STEP_MS;
    gint64 due_ms = MAX(turn_ms, this->taken_ms + ANSWER_MS);
    return MAX(due_ms - now_ms, 0);
}

/* Few at a time, or all would be told slowly on a small link and none could
 * hand it on. */
gboolean
ListExchange_mayServe(ListExchange_t *this, const Member_t *peer)
{
    gint64 now_ms = Clock_nowMs();
    Served_t *place = NULL;
    for (guint i = 0; i < SERVED_MOST; i++) {
        Served_t *served = &this->served[i];
        if (g_string_equal(served->name, peer->name)) {
            place = served;
            break;
        }
        if (now_ms - served->asked_ms >= SERVED_MS) {
            place = served;
        }
    }
    if (!place) {
        return FALSE;
    }
    g_string_assign(place->name, peer->name->str);
    place->asked_ms = now_ms;
    return TRUE;
}

static Wt__ListRefusal
read_copy(ListExchange_t *this, const Member_t *from, const ListPlace_t *place,
          ListPart_t *out)
{
    gboolean whole = this->at_ms > 0 && this->follower &&
                     !RecordFollower_isListing(this->follower) &&
                     this->end.epoch >= place->from.epoch;
    if (!whole) {
        return WT__LIST_REFUSAL__NOT_KNOWN;
    }
    if (!ListExchange_mayServe(this, from)) {
        return WT__LIST_REFUSAL__BUSY;
    }
    return ListCopy_read(this->copy, place, PAGE_BYTES, out)
               ? WT__LIST_REFUSAL__NONE
               : WT__LIST_REFUSAL__TOO_OLD;
}

static void
send_page(const ListExchange_t *this, Member_t *to, Wt__ListPage *page,
          const GPtrArray *records)
{
    guint number = records ? records->len : 0;
    g_autofree Wt__TopicRecord *list = g_new(Wt__TopicRecord, number + 1);
    g_autofree Wt__TopicRecord **pointers =
        g_new(Wt__TopicRecord *, number + 1);
    for (guint i = 0; i < number; i++) {
        RecordRelay_fill(&list[i], g_ptr_array_index(records, i));
        pointers[i] = &list[i];
    }
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    page->n_records = number;
    page->records = pointers;
    message.body_case = WT__PEER_MESSAGE__BODY_LIST_PAGE;
    message.list_page = page;
    Membership_send(this->spec.membership, to, &message);
}

void
ListExchange_answer(ListExchange_t *this, Member_t *from,
                    const Wt__ListAsk *asked)
{
    ListPlace_t place = {asked->after, {asked->epoch, asked->from}};
    ListPart_t part = {{0}};
    Wt__ListPage page = WT__LIST_PAGE__INIT;
    page.topic = (char *)this->spec.topic;
    page.after = asked->after;
    page.from = asked->from;
    page.epoch = this->end.epoch;
    page.refusal = read_copy(this, from, &place, &part);
    if (page.refusal == WT__LIST_REFUSAL__NONE) {
        page.reached = (char *)part.reached;
        page.more = part.page.more;
        page.end = this->end.offset;
        page.age_ms = PeerAge_of(this->at_ms);
    }
    count(this, page.refusal == WT__LIST_REFUSAL__NONE ? "told" : "refused");
    send_page(this, from, &page, part.page.records);
    if (part.page.records) {
        g_ptr_array_unref(part.page.records);
    }
}

/* The peer goes on with the next page at once. */
static void
take_page(ListExchange_t *this, Member_t *from, const Wt__ListPage *page)
{
    ListPart_t part = {.page = RecordRelay_readRecords(
                           page->records, page->n_records, page->epoch),
                       .reached = page->reached};
    ListPlace_t place = {page->after, {page->epoch, page->from}};
    part.page.end = (StorePosition_t){page->epoch, page->end};
    part.page.more = page->more;
    gboolean taken = RecordFollower_feedList(this->follower, &place, &part,
                                             PeerAge_atMs(page->age_ms));
    g_ptr_array_unref(part.page.records);
    count(this, taken ? "taken" : "passed_over");
    if (!taken) {
        return;
    }
    this->taken_ms = Clock_nowMs();
    ListPlace_t next;
    if (RecordFollower_wantsList(this->follower, &next)) {
        ask(this, from, &next);
    }
}

/* Bytes of a peer are taken only where they answer what it was asked. */
void
ListExchange_take(ListExchange_t *this, Member_t *from,
                  const Wt__ListPage *page)
{
    if (this->asked_ms == 0 || !g_string_equal(this->asked, from->name)) {
        count(this, "not_asked");
        return;
    }
    this->asked_ms = 0;
    if (page->refusal == WT__LIST_REFUSAL__TOO_OLD) {
        RecordFollower_dropList(this->follower);
    }
    if (page->refusal != WT__LIST_REFUSAL__NONE ||
        !StoreEpoch_note(this->spec.epoch, page->epoch, "peer")) {
        count(this, "not_got");
        return;
    }
    take_page(this, from, page);
}
