#include "RelayOrigin.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "RouteServices.h"

static gboolean
is_continuation(const RelayExchange_t *this)
{
    return this->event_pipe && this->route->resumable &&
           (this->origin.resumes || this->request.last_event_id);
}

static const char *
resumed_id(const RelayExchange_t *this)
{
    return this->origin.resumes ? this->origin.resumes->str : "";
}

static RequestDigest_t
digest_of(const RelayExchange_t *this, const char *id)
{
    const Exchange_t *super = &this->super;
    return RequestDigest_makeOfId(super->customer->str, id,
                                  super->context->settings->keys.salt);
}

static gboolean
has_several_services(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    return !RouteServices_hasOnly(
        super->context->versions, this->route, super->target->str,
        super->context->settings->relay.resume_window_ms, Clock_nowMs());
}

static gboolean
has_service(const RelayExchange_t *this, const char *service)
{
    for (guint i = 0; i < this->route->targets->len; i++) {
        const RouteTarget_t *target =
            &g_array_index(this->route->targets, RouteTarget_t, i);
        if (strcmp(target->service->str, service) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
log_answer(const RelayExchange_t *this, const OriginAnswer_t *answer)
{
    const Exchange_t *super = &this->super;
    const char *source = OriginSource_name(answer->source);
    g_autofree char *labels = g_strdup_printf("source=\"%s\"", source);
    Counters_add(super->context->counters, "streams_continued_total", labels,
                 1);
    Log_begin(LOG_LEVEL_INFO, "stream_continued");
    Log_text("request", super->id->str);
    Log_text("resumes", resumed_id(this));
    Log_text("source", source);
    Log_text("service", answer->service ? answer->service : "");
    Log_text("software", answer->software ? answer->software : "");
    Log_number("replies", answer->replies);
    Log_number("age_ms", answer->age_ms);
    Log_number("us", Clock_nowUs() - super->started_us);
    Log_end();
}

static void
refuse(RelayExchange_t *this, Refusal_t refusal, const OriginAnswer_t *answer)
{
    g_autofree char *detail = g_strdup_printf(
        "service=%s replies=%u", answer->service ? answer->service : "unknown",
        answer->replies);
    Exchange_refuse(&this->super, refusal, RUN_NOT, detail);
}

/* Returns FALSE if the request is refused. */
static gboolean
apply_answer(RelayExchange_t *this, const OriginAnswer_t *answer)
{
    log_answer(this, answer);
    if (!answer->software || *answer->software == '\0') {
        refuse(this, REFUSAL_RESUME_UNKNOWN, answer);
        return FALSE;
    }
    if (!has_service(this, answer->service)) {
        refuse(this, REFUSAL_SOFTWARE_GONE, answer);
        return FALSE;
    }
    this->origin.is_resolved = TRUE;
    this->origin.software = g_string_new(answer->software);
    g_string_assign(this->super.target, answer->service);
    return TRUE;
}

/* What began a stream that its caller does not name may be known. */
static gboolean
apply_or_refuse(RelayExchange_t *this, const OriginAnswer_t *answer)
{
    const OriginAnswer_t unknown = {.replies = answer->replies};
    gboolean is_unnamed =
        answer->source == ORIGIN_FROM_BASE && !this->origin.resumes;
    return apply_answer(this, is_unnamed ? &unknown : answer);
}

static gboolean ask(RelayExchange_t *this);

/* The records of the services that the route had may have been read since. */
static gboolean
must_ask_again(const RelayExchange_t *this, const OriginAnswer_t *answer)
{
    return !answer->software && this->origin.may_change &&
           !has_several_services(this);
}

static void
on_asked(void *owner, const OriginAnswer_t *answer)
{
    RelayExchange_t *this = owner;
    Exchange_t *super = &this->super;
    this->origin.query = NULL;
    if (super->over || super->caller_left) {
        return;
    }
    gboolean is_resolved = must_ask_again(this, answer)
                               ? ask(this)
                               : apply_or_refuse(this, answer);
    if (is_resolved) {
        Exchange_place(super);
    }
}

/* A caller that does not name the request that it continues gets an answer
 * only if there is a single version. */
static gboolean
ask(RelayExchange_t *this)
{
    OriginAnswer_t answer;
    this->origin.digest = digest_of(this, resumed_id(this));
    this->origin.may_change = has_several_services(this);
    this->origin.query =
        OriginKeeper_ask(this->super.context->origins, &this->origin.digest,
                         this->super.target->str, this->origin.may_change,
                         &answer, on_asked, this);
    return !this->origin.query && apply_or_refuse(this, &answer);
}

void
RelayOrigin_init(RelayExchange_t *this)
{
    if (this->event_pipe && this->request.resumes) {
        this->origin.resumes = g_string_new(this->request.resumes);
    }
}

gboolean
RelayOrigin_resolve(RelayExchange_t *this)
{
    if (this->origin.is_resolved) {
        return TRUE;
    }
    if (this->origin.query) {
        return FALSE;
    }
    if (is_continuation(this)) {
        return ask(this);
    }
    this->origin.is_resolved = TRUE;
    return TRUE;
}

static void
begin(const RelayExchange_t *this, const RequestDigest_t *digest)
{
    OriginKeeper_begin(this->super.context->origins, digest,
                       this->super.target->str, this->origin.software->str,
                       has_several_services(this));
}

/* An attempt that ended before it was adopted tells no more. */
static gboolean
is_start_proved(const RelayExchange_t *this)
{
    return this->attempt ? RelayAttempt_isStartProved(this->attempt)
                         : !StartProof_isNeeded(this->super.upstream);
}

/* The entry that states the version may have changed since the request was
 * sent. */
static const char *
find_begun_software(const RelayExchange_t *this)
{
    const Upstream_t *upstream = this->super.upstream;
    return this->feedback.origin.incarnation == upstream->incarnation &&
                   is_start_proved(this)
               ? Upstream_software(upstream)
               : "";
}

void
RelayOrigin_bind(RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    if (!this->origin.software) {
        this->origin.software = g_string_new(find_begun_software(this));
    }
    if (!this->route->resumable) {
        return;
    }
    this->origin.own_digest = digest_of(this, super->id->str);
    begin(this, &this->origin.own_digest);
    if (this->origin.resumes) {
        begin(this, &this->origin.digest);
    }
    this->origin.is_begun = TRUE;
}

/* The list shows the version of an upstream that has started again as it was
 * before, until its entry changes. */
static gboolean
do_all_run(const RelayExchange_t *this, const char *software)
{
    const GPtrArray *serving = UpstreamSet_findServing(
        this->super.context->upstreams, ROLE_SERVICE, this->super.target->str);
    for (guint i = 0; i < serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (strcmp(Upstream_software(upstream), software) != 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
does_any_run(const RelayExchange_t *this, const char *software)
{
    const GPtrArray *serving = UpstreamSet_findServing(
        this->super.context->upstreams, ROLE_SERVICE, this->super.target->str);
    for (guint i = 0; i < serving->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(serving, i);
        if (!upstream->leaving &&
            strcmp(Upstream_software(upstream), software) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* While the list shows an upstream of the base, other routers take the base
 * for the version of a stream that nobody knows, even if this router knows
 * that the upstream leaves or has started again. */
static gboolean
may_leave_base(const RelayExchange_t *this)
{
    const Exchange_t *super = &this->super;
    const SoftwareVersions_t *versions = super->context->versions;
    const char *service = super->target->str;
    return !SoftwareVersions_isBaseListed(versions, service) ||
           SoftwareVersions_findSole(
               versions, service,
               super->context->settings->relay.resume_window_ms,
               Clock_nowMs());
}

/* Without an upstream of that version any other one is better than none. The
 * name outlives the placement. */
static const char *
find_held(const RelayExchange_t *this)
{
    const OriginKeeper_t *origins = this->super.context->origins;
    const char *service = this->super.target->str;
    if (!this->event_pipe || !this->route->resumable) {
        return NULL;
    }
    const char *held =
        OriginKeeper_findHeld(origins, service, does_any_run(this, ""));
    if (held && !does_any_run(this, held) && may_leave_base(this)) {
        OriginKeeper_noteUnstated(origins, service);
        return NULL;
    }
    return held ? g_intern_string(held) : NULL;
}

const char *
RelayOrigin_requiredSoftware(const RelayExchange_t *this)
{
    const GString *software = this->origin.software;
    if (!software) {
        return find_held(this);
    }
    const char *only = OriginKeeper_findOnly(this->super.context->origins,
                                             this->super.target->str);
    gboolean is_only = only && strcmp(only, software->str) == 0;
    return is_only && do_all_run(this, only) ? NULL : software->str;
}

static void
end(const RelayExchange_t *this, const RequestDigest_t *digest)
{
    OriginKeeper_end(this->super.context->origins, digest, this->is_whole);
}

void
RelayOrigin_clear(RelayExchange_t *this)
{
    RelayOrigin_t *origin = &this->origin;
    if (origin->query) {
        OriginKeeper_cancel(this->super.context->origins, origin->query);
    }
    if (origin->is_begun) {
        end(this, &origin->own_digest);
        if (this->origin.resumes) {
            end(this, &origin->digest);
        }
    }
    if (origin->software) {
        g_string_free(origin->software, TRUE);
    }
    if (origin->resumes) {
        g_string_free(origin->resumes, TRUE);
    }
}
