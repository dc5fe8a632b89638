#include "CrashVerdict.h"

#include "Log.h"

static void
log_part(const PartQuarantine_t *part)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    g_autofree char *id =
        g_strdup_printf("%" G_GINT64_MODIFIER "x", part->part.id);
    RequestDigest_write(&part->part.digest, digest);
    Log_text("digest", digest);
    Log_text("part", id);
    Log_number("crashes", part->crashes);
    Log_number("open", part->pending);
    Log_text("by", part->is_local ? "self" : "peer");
    Log_number("age_ms", part->age_ms);
    Log_number("wait_ms", part->wait_ms);
}

static void
log_request(const RequestDigest_t *request, const CrashQuarantine_t *reason)
{
    char digest[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(request, digest);
    Log_text("digest", digest);
    Log_number("crashes", reason->crashes);
    Log_number("open", reason->pending);
    Log_text("by", reason->is_local ? "self" : "peer");
    Log_number("age_ms", reason->age_ms);
    Log_number("wait_ms", reason->wait_ms);
}

void
CrashVerdict_log(const CrashVerdict_t *this, const RequestDigest_t *digest,
                 const char *request)
{
    Log_begin(LOG_LEVEL_INFO, "request_not_sent");
    Log_text("request", request);
    if (this->is_part) {
        log_part(&this->part);
    }
    else {
        log_request(digest, &this->request);
    }
    Log_end();
}

gint64
CrashVerdict_waitMs(const CrashVerdict_t *this)
{
    return this->is_part ? this->part.wait_ms : this->request.wait_ms;
}
