#include "VersionGate.h"

#include <string.h>

#include "Log.h"
#include "Random.h"

/* Hex digits of a random id that make the number of a process. */
#define PROCESS_DIGITS 16

/* What this process states of a service. */
typedef struct {
    char *written_base; /* in the last write; NULL for none */
    char *base;         /* in the last write that was acknowledged, or NULL */
    GHashTable *stated_bases; /* in statements of other processes */
    gint64 opened_ms; /* since when other versions are used, monotonic */
    gint64 joined_ms; /* since when there are several; 0 while there is one */
    gint64 held_ms;   /* since when streams are held; 0 for never */
    gboolean is_used_unstated;
    gboolean is_used; /* this process may have used others than the base */
} Gate_t;

struct VersionGate {
    const SoftwareVersions_t *versions;
    gint64 window_ms;
    gint64 hold_ms;
    guint64 process;
    GHashTable *gates;   /* service -> Gate_t */
    GPtrArray *carried;  /* VersionUse_t of former processes */
    GPtrArray *uses;     /* VersionUse_t of all routers */
    GPtrArray *new_uses; /* of the read in progress */
    gint64 new_read_ms;
    gint64 read_ms;
    gboolean has_unreadable;
    gboolean has_new_unreadable;
};

static void
free_use(gpointer data)
{
    VersionUse_t *use = data;
    g_free(use->service);
    g_free(use->software);
    g_free(use->base);
    g_free(use);
}

static void
free_gate(gpointer data)
{
    Gate_t *gate = data;
    g_free(gate->written_base);
    g_free(gate->base);
    g_hash_table_destroy(gate->stated_bases);
    g_free(gate);
}

static VersionUse_t *
copy_use(const VersionUse_t *use)
{
    VersionUse_t *copy = g_new0(VersionUse_t, 1);
    *copy = *use;
    copy->service = g_strdup(use->service);
    copy->software = g_strdup(use->software);
    copy->base = g_strdup(use->base);
    return copy;
}

static GPtrArray *
create_uses(void)
{
    return g_ptr_array_new_with_free_func(free_use);
}

static guint64
make_process(void)
{
    char id[RANDOM_ID_LENGTH + 1];
    Random_id(id);
    id[PROCESS_DIGITS] = '\0';
    return MAX(g_ascii_strtoull(id, NULL, PROCESS_DIGITS), 1);
}

VersionGate_t *
VersionGate_create(const SoftwareVersions_t *versions, gint64 window_ms)
{
    VersionGate_t *this = g_new0(VersionGate_t, 1);
    this->versions = versions;
    this->window_ms = window_ms;
    this->process = make_process();
    this->gates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_gate);
    this->carried = create_uses();
    this->uses = create_uses();
    this->new_uses = create_uses();
    return this;
}

void
VersionGate_destroy(VersionGate_t *this)
{
    g_hash_table_destroy(this->gates);
    g_ptr_array_unref(this->carried);
    g_ptr_array_unref(this->uses);
    g_ptr_array_unref(this->new_uses);
    g_free(this);
}

void
VersionGate_setWindow(VersionGate_t *this, gint64 window_ms)
{
    this->window_ms = window_ms;
}

void
VersionGate_setHold(VersionGate_t *this, gint64 hold_ms)
{
    this->hold_ms = hold_ms;
}

guint64
VersionGate_process(const VersionGate_t *this)
{
    return this->process;
}

static Gate_t *
get_gate(const VersionGate_t *this, const char *service)
{
    Gate_t *gate = g_hash_table_lookup(this->gates, service);
    if (!gate) {
        gate = g_new0(Gate_t, 1);
        gate->stated_bases =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(this->gates, g_strdup(service), gate);
    }
    return gate;
}

static GPtrArray *
list_serving(const VersionGate_t *this, const char *service, gint64 now_ms)
{
    return SoftwareVersions_listServing(this->versions, service,
                                        this->window_ms, now_ms);
}

static void
log_gate(const char *event, const char *service, const char *base,
         gint64 age_ms)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("service", service);
    Log_text("base", base);
    Log_number("age_ms", age_ms);
    Log_end();
}

/* The base differs from the one that is stated once others have joined a
 * single version again. */
static gboolean
is_open(const Gate_t *gate, const char *base)
{
    return gate->base && strcmp(gate->base, base) == 0;
}

/* What others stated counts for the versions that serve side by side now. */
static void
note_serving(const VersionGate_t *this, const char *service, guint versions,
             gint64 now_ms)
{
    Gate_t *gate = g_hash_table_lookup(this->gates, service);
    if (gate && versions < 2) {
        gate->joined_ms = 0;
        gate->is_used = FALSE;
        g_hash_table_remove_all(gate->stated_bases);
    }
    else if (versions > 1) {
        gate = get_gate(this, service);
        gate->joined_ms = gate->joined_ms > 0 ? gate->joined_ms : now_ms;
    }
}

/* Whether this process may state that it uses others beside the base. Streams
 * that other routers began at the base count as unknown as soon as one process
 * stated it and is gone, so that it leaves them time to record these. */
static gboolean
may_state(const VersionGate_t *this, const char *service, const Gate_t *gate,
          const char *base, gint64 now_ms)
{
    gboolean is_stated = g_hash_table_contains(gate->stated_bases, base);
    return gate->is_used || is_stated ||
           !SoftwareVersions_isBaseListed(this->versions, service) ||
           now_ms - gate->joined_ms >= this->hold_ms;
}

static void
note_held(Gate_t *gate, const char *service, const char *base, gint64 now_ms)
{
    if (gate->held_ms == 0) {
        gate->held_ms = now_ms;
        log_gate("software_held", service, base, 0);
    }
}

const char *
VersionGate_findHeld(VersionGate_t *this, const char *service,
                     gboolean has_unknown, gint64 now_ms)
{
    g_autoptr(GPtrArray) serving = list_serving(this, service, now_ms);
    const char *base = SoftwareVersions_findBase(this->versions, service);
    note_serving(this, service, serving->len, now_ms);
    if (serving->len < 2 && !has_unknown) {
        return NULL;
    }
    Gate_t *gate = get_gate(this, service);
    if (!base) {
        gate->is_used = TRUE;
        return NULL;
    }
    if (is_open(gate, base)) {
        return NULL;
    }
    note_held(gate, service, base, now_ms);
    return base;
}

void
VersionGate_noteUnstated(VersionGate_t *this, const char *service,
                         gint64 now_ms)
{
    Gate_t *gate = get_gate(this, service);
    const char *base = SoftwareVersions_findBase(this->versions, service);
    if (gate->is_used_unstated) {
        return;
    }
    gate->is_used_unstated = TRUE;
    gate->is_used = TRUE;
    log_gate("software_used_unstated", service, base ? base : "",
             gate->held_ms > 0 ? now_ms - gate->held_ms : 0);
}

/* Records that list its streams without a statement pass for those of builds
 * that state nothing. */
void
VersionGate_noteBegun(const VersionGate_t *this, const char *service,
                      const char *software, gint64 now_ms)
{
    const char *base = SoftwareVersions_findBase(this->versions, service);
    if (!base || strcmp(base, software) == 0) {
        return;
    }
    g_autoptr(GPtrArray) serving = list_serving(this, service, now_ms);
    if (serving->len > 1) {
        get_gate(this, service)->is_used = TRUE;
    }
}

typedef struct {
    VersionGate_t *gate;
    GPtrArray *out;
    gint64 now_ms;
} Listing_t;

static void
list_service(void *owner, const char *service)
{
    const Listing_t *listing = owner;
    const VersionGate_t *this = listing->gate;
    g_autoptr(GPtrArray) serving =
        list_serving(this, service, listing->now_ms);
    const char *base = SoftwareVersions_findBase(this->versions, service);
    note_serving(this, service, serving->len, listing->now_ms);
    if (serving->len < 2) {
        return;
    }
    Gate_t *gate = get_gate(this, service);
    if (base && !may_state(this, service, gate, base, listing->now_ms)) {
        return;
    }
    gate->is_used = TRUE;
    g_free(gate->written_base);
    gate->written_base = g_strdup(base ? base : "");
    for (guint i = 0; i < serving->len; i++) {
        VersionUse_t use = {
            .service = (char *)service,
            .software = g_ptr_array_index(serving, i),
            .base = gate->written_base,
            .process = this->process,
        };
        g_ptr_array_add(listing->out, copy_use(&use));
    }
}

static void
clear_written(const VersionGate_t *this)
{
    GHashTableIter iter;
    gpointer gate = NULL;
    g_hash_table_iter_init(&iter, this->gates);
    while (g_hash_table_iter_next(&iter, NULL, &gate)) {
        g_clear_pointer(&((Gate_t *)gate)->written_base, g_free);
    }
}

/* A statement that is about to be replaced counts no more, whenever the store
 * carries the write out. */
static void
close_unwritten(const VersionGate_t *this)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->gates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Gate_t *gate = value;
        if (g_strcmp0(gate->base, gate->written_base) != 0) {
            g_clear_pointer(&gate->base, g_free);
        }
    }
}

GPtrArray *
VersionGate_list(VersionGate_t *this, gint64 now_ms)
{
    Listing_t listing = {this, create_uses(), now_ms};
    clear_written(this);
    SoftwareVersions_forEachService(this->versions, list_service, &listing);
    close_unwritten(this);
    for (guint i = 0; i < this->carried->len; i++) {
        const VersionUse_t *use = g_ptr_array_index(this->carried, i);
        if (now_ms < use->until_ms) {
            g_ptr_array_add(listing.out, copy_use(use));
        }
    }
    return listing.out;
}

/* A service without a written statement is held again. */
static void
note_gate_written(Gate_t *gate, const char *service, gint64 now_ms)
{
    if (g_strcmp0(gate->base, gate->written_base) == 0) {
        return;
    }
    g_free(gate->base);
    gate->base = g_strdup(gate->written_base);
    if (gate->base) {
        gint64 age_ms = gate->held_ms > 0 ? now_ms - gate->held_ms : 0;
        log_gate("software_stated", service, gate->base, age_ms);
    }
    gate->opened_ms = now_ms;
    gate->held_ms = 0;
    gate->is_used_unstated = FALSE;
}

void
VersionGate_noteWritten(VersionGate_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer service = NULL;
    gpointer gate = NULL;
    g_hash_table_iter_init(&iter, this->gates);
    while (g_hash_table_iter_next(&iter, &service, &gate)) {
        note_gate_written(gate, service, now_ms);
    }
}

/* A statement names the base, if its process knows it, beside the versions
 * that joined it. */
static void
note_stated(const VersionGate_t *this, const VersionUse_t *use)
{
    if (use->process != 0 && use->process != this->process &&
        *use->base != '\0' && strcmp(use->software, use->base) != 0) {
        g_hash_table_add(get_gate(this, use->service)->stated_bases,
                         g_strdup(use->base));
    }
}

void
VersionGate_carry(VersionGate_t *this, const VersionUse_t *use, gint64 now_ms)
{
    VersionUse_t *copy = copy_use(use);
    copy->until_ms = now_ms + this->window_ms;
    g_ptr_array_add(this->carried, copy);
}

gboolean
VersionGate_hasCarried(const VersionGate_t *this)
{
    return this->carried->len > 0;
}

gboolean
VersionGate_isUsedBefore(const VersionGate_t *this, const char *service,
                         gint64 now_ms)
{
    for (guint i = 0; i < this->carried->len; i++) {
        const VersionUse_t *use = g_ptr_array_index(this->carried, i);
        if (now_ms < use->until_ms && strcmp(use->service, service) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

void
VersionGate_beginRead(VersionGate_t *this, gint64 now_ms)
{
    g_ptr_array_set_size(this->new_uses, 0);
    this->new_read_ms = now_ms;
    this->has_new_unreadable = FALSE;
}

void
VersionGate_read(VersionGate_t *this, const VersionUse_t *use)
{
    note_stated(this, use);
    g_ptr_array_add(this->new_uses, copy_use(use));
}

void
VersionGate_noteUnreadable(VersionGate_t *this)
{
    this->has_new_unreadable = TRUE;
}

void
VersionGate_endRead(VersionGate_t *this)
{
    GPtrArray *former = this->uses;
    this->uses = this->new_uses;
    this->new_uses = former;
    this->read_ms = this->new_read_ms;
    this->has_unreadable = this->has_new_unreadable;
}

gint64
VersionGate_readMs(const VersionGate_t *this)
{
    return this->read_ms;
}

gboolean
VersionGate_isFresh(const VersionGate_t *this, const char *service,
                    gint64 now_ms)
{
    const Gate_t *gate = g_hash_table_lookup(this->gates, service);
    if (!gate) {
        return TRUE;
    }
    gint64 since_ms = gate->base ? gate->opened_ms : now_ms;
    return !gate->is_used_unstated && now_ms - since_ms <= this->window_ms;
}

static gboolean
runs(const GArray *processes, guint64 process)
{
    for (guint i = 0; i < processes->len; i++) {
        if (g_array_index(processes, guint64, i) == process) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Builds that state nothing list the streams of each version. A process that
 * does not know the base yet knows what it began all the same. */
static gboolean
is_harmless(const VersionUse_t *use, const char *base, const GArray *processes)
{
    if (use->process == 0) {
        return strcmp(use->software, base) == 0;
    }
    gboolean is_same = *use->base == '\0' || strcmp(use->base, base) == 0;
    return is_same && runs(processes, use->process);
}

const char *
VersionGate_findBase(const VersionGate_t *this, const char *service,
                     const GArray *processes)
{
    const char *base = SoftwareVersions_findBase(this->versions, service);
    if (!SoftwareVersions_isBaseServed(this->versions, service) ||
        this->has_unreadable) {
        return NULL;
    }
    for (guint i = 0; i < this->uses->len; i++) {
        const VersionUse_t *use = g_ptr_array_index(this->uses, i);
        if (strcmp(use->service, service) == 0 &&
            !is_harmless(use, base, processes)) {
            return NULL;
        }
    }
    return base;
}
