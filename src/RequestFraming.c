#include "RequestFraming.h"

#include <string.h>

#include "ChunkCheck.h"
#include "ForwardProof.h"
#include "HeadCheck.h"
#include "LineCheck.h"
#include "RelayForm.h"

/* Longer than the lines that matter, without blanks. */
#define LINE_MAX_BYTES 64
#define CHUNKED_LINE "transfer-encoding:chunked"
#define LENGTH_PREFIX "content-length:"
#define METHOD_PREFIX RELAY_METHOD ":"
#define PROOF_PREFIX RELAY_FORWARD_PROOF ":"
#define CODING_PREFIX "transfer-encoding:"
#define HASH_FACTOR G_GUINT64_CONSTANT(1099511628211) /* of FNV-1a */

/* Of evhttp, which never ends the connection of a CONNECT. */
static const char *const named_methods[] = {
    "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE", "PATCH", NULL,
};

typedef enum {
    PART_HEAD,
    PART_LENGTH,
    PART_CHUNKS,
    PART_TRAILERS,
} Part_t;

struct RequestFraming {
    const char *proof;
    const char *key_header;
    gboolean is_from_router;
    GQueue *unnamed;  /* UnnamedMethod_t, each with the offset of its word */
    gsize checked;    /* bytes so far that are left */
    gsize line_begin; /* offset of the request line */
    Part_t part;
    char line[LINE_MAX_BYTES]; /* the beginning of the line under way */
    gsize line_bytes;
    gboolean is_line_cut;
    gboolean is_before_value; /* behind the colon of a field */
    gboolean is_after_blank;  /* inside a value */
    gboolean is_value_split;  /* by a blank */
    guint64 line_hash;        /* of the whole line */
    guint64 caller;
    gboolean is_first_line;
    gsize head_bytes;
    gsize last_head_bytes;
    guint lines;          /* of the head, and of the trailers */
    gboolean has_no_body; /* whatever its head states */
    gboolean is_chunked;
    guint64 length;  /* of a body with a length */
    guint64 left;    /* of this length */
    guint64 chunked; /* bytes of chunks so far */
    ChunkCheck_t chunks;
    LineCheck_t syntax;
    gboolean has_late_framing; /* a trailer tells how the body ends */
    gboolean has_cut_framing;  /* as does a line that is too long */
    gboolean has_method;       /* a field that only a router sets */
    guint lengths;             /* fields that state one */
    guint codings;
    gboolean has_unclear_end; /* readers may disagree on where a body ends */
};

static void
begin_head(RequestFraming_t *this)
{
    *this = (RequestFraming_t){.proof = this->proof,
                               .key_header = this->key_header,
                               .is_from_router = this->is_from_router,
                               .unnamed = this->unnamed,
                               .checked = this->checked,
                               .line_begin = this->line_begin,
                               .last_head_bytes = this->head_bytes,
                               .is_first_line = TRUE};
}

/* What follows is no request to all readers (RFC 9112, section 6.3). */
static gboolean
is_end_unclear(const RequestFraming_t *this)
{
    return this->lengths + this->codings > 1 ||
           (this->codings > 0 && !this->is_chunked);
}

static void
begin_body(RequestFraming_t *this)
{
    if (this->has_no_body) {
        begin_head(this);
    }
    else if (is_end_unclear(this)) {
        this->has_unclear_end = TRUE;
    }
    else if (this->is_chunked) {
        this->part = PART_CHUNKS;
        ChunkCheck_begin(&this->chunks);
    }
    else if (this->left > 0) {
        this->part = PART_LENGTH;
    }
    else {
        begin_head(this);
    }
}

static void
note_unnamed(RequestFraming_t *this, gsize length)
{
    UnnamedMethod_t *method = g_new(UnnamedMethod_t, 1);
    *method = (UnnamedMethod_t){.word = g_strndup(this->line, length),
                                .distance = this->line_begin};
    g_queue_push_tail(this->unnamed, method);
}

/* Longer methods than what is kept of a line stay as they are. */
static void
read_method(RequestFraming_t *this)
{
    const char *end = strchr(this->line, ' ');
    g_autofree char *word =
        end ? g_strndup(this->line, (gsize)(end - this->line)) : NULL;
    if (word && !g_strv_contains(named_methods, word)) {
        note_unnamed(this, strlen(word));
    }
}

static void
read_first_line(RequestFraming_t *this)
{
    if (this->line_bytes == 0) {
        return;
    }
    read_method(this);
    this->has_no_body = g_str_has_prefix(this->line, "HEAD ") ||
                        g_str_has_prefix(this->line, "TRACE ");
    this->is_first_line = FALSE;
}

static gboolean
has_prefix(const RequestFraming_t *this, const char *prefix)
{
    return g_ascii_strncasecmp(this->line, prefix, strlen(prefix)) == 0;
}

static gboolean
has_key(const RequestFraming_t *this)
{
    return this->key_header && has_prefix(this, this->key_header) &&
           this->line[strlen(this->key_header)] == ':';
}

/* Whether the line tells where the body ends. */
static gboolean
tells_end(const RequestFraming_t *this)
{
    return has_prefix(this, LENGTH_PREFIX) || has_prefix(this, CODING_PREFIX);
}

static void
read_header(RequestFraming_t *this)
{
    if (has_prefix(this, METHOD_PREFIX)) {
        this->has_method = TRUE;
    }
    this->lengths += has_prefix(this, LENGTH_PREFIX) ? 1 : 0;
    this->codings += has_prefix(this, CODING_PREFIX) ? 1 : 0;
    if (has_key(this)) {
        this->caller = this->line_hash;
    }
    if (this->is_line_cut) {
        this->has_cut_framing = this->has_cut_framing || tells_end(this);
        return;
    }
    if (this->proof && has_prefix(this, PROOF_PREFIX) &&
        ForwardProof_isValid(this->proof, this->line + strlen(PROOF_PREFIX))) {
        this->is_from_router = TRUE;
    }
    if (g_ascii_strcasecmp(this->line, CHUNKED_LINE) == 0 &&
        !this->is_value_split) {
        this->is_chunked = TRUE;
    }
    else if (has_prefix(this, LENGTH_PREFIX)) {
        this->length =
            g_ascii_strtoull(this->line + strlen(LENGTH_PREFIX), NULL, 10);
        this->left = this->length;
    }
}

static void
read_trailer(RequestFraming_t *this)
{
    this->has_late_framing = tells_end(this);
}

static void
end_line(RequestFraming_t *this)
{
    gboolean is_empty = this->line_bytes == 0;
    this->lines++;
    this->line[this->line_bytes] = '\0';
    if (this->part == PART_TRAILERS) {
        if (is_empty) {
            begin_head(this);
        }
        else {
            read_trailer(this);
        }
    }
    else if (is_empty && !this->is_first_line) {
        begin_body(this);
    }
    else if (this->is_first_line) {
        read_first_line(this);
    }
    else {
        read_header(this);
    }
    this->line_bytes = 0;
    this->line_hash = 0;
    this->is_line_cut = FALSE;
    this->is_after_blank = FALSE;
    this->is_value_split = FALSE;
}

/* The method ends with a blank; elsewhere blanks are left out. */
static gboolean
is_kept(const RequestFraming_t *this, char byte)
{
    gboolean is_blank = byte == ' ' || byte == '\t';
    return byte != '\r' && (!is_blank || this->is_first_line);
}

/* evhttp skips only spaces before a value. */
static void
blank_tab(RequestFraming_t *this, LineState_t before, char *byte)
{
    if (before == LINE_NAME && this->syntax.state == LINE_TEXT) {
        this->is_before_value = TRUE;
    }
    else if (this->is_before_value && *byte == '\t') {
        *byte = ' ';
    }
    else if (*byte != ' ') {
        this->is_before_value = FALSE;
    }
}

/* The line is kept without its blanks. */
static void
note_blank(RequestFraming_t *this, char byte)
{
    if (this->syntax.state != LINE_TEXT || this->is_before_value) {
        return;
    }
    if (byte == ' ' || byte == '\t') {
        this->is_after_blank = TRUE;
    }
    else {
        this->is_value_split = this->is_value_split || this->is_after_blank;
    }
}

static void
check_byte(RequestFraming_t *this, char byte)
{
    gboolean is_request_line = this->is_first_line && this->part == PART_HEAD;
    LineCheck_feed(&this->syntax,
                   is_request_line ? LINE_OF_REQUEST : LINE_OF_FIELD, byte);
}

static gboolean
is_leading_zero(const RequestFraming_t *this, char byte)
{
    gsize length = strlen(LENGTH_PREFIX);
    return g_ascii_isdigit(byte) && this->line_bytes == length + 1 &&
           this->line[length] == '0' && has_prefix(this, LENGTH_PREFIX);
}

/* Of a length any number of zeros may come first. */
static void
keep_byte(RequestFraming_t *this, char byte)
{
    this->line_hash = (this->line_hash ^ (guchar)byte) * HASH_FACTOR;
    if (is_leading_zero(this, byte)) {
        this->line[this->line_bytes - 1] = byte;
    }
    else if (this->line_bytes < LINE_MAX_BYTES - 1) {
        this->line[this->line_bytes++] = byte;
    }
    else {
        this->is_line_cut = TRUE;
    }
}

static void
count_head(RequestFraming_t *this, char byte)
{
    gboolean is_end = byte == '\r' || byte == '\n';
    this->head_bytes += this->part == PART_HEAD && !is_end ? 1 : 0;
}

static void
read_line_byte(RequestFraming_t *this, char *byte)
{
    LineState_t before = this->syntax.state;
    check_byte(this, *byte);
    if (LineCheck_isBroken(&this->syntax)) {
        return;
    }
    blank_tab(this, before, byte);
    note_blank(this, *byte);
    count_head(this, *byte);
    if (*byte == '\n') {
        end_line(this);
    }
    else if (is_kept(this, *byte)) {
        keep_byte(this, *byte);
    }
}

static gsize
read_line(RequestFraming_t *this, char *bytes, gsize length)
{
    const char *end = memchr(bytes, '\n', length);
    gsize size = end ? (gsize)(end - bytes) + 1 : length;
    for (gsize i = 0; i < size && !LineCheck_isBroken(&this->syntax); i++) {
        read_line_byte(this, &bytes[i]);
    }
    return size;
}

static gsize
read_body(RequestFraming_t *this, char *bytes, gsize length)
{
    (void)bytes;
    gsize size = (gsize)MIN(this->left, (guint64)length);
    this->left -= size;
    if (this->left == 0) {
        begin_head(this);
    }
    return size;
}

static gsize
read_chunks(RequestFraming_t *this, char *bytes, gsize length)
{
    gsize size = ChunkCheck_feed(&this->chunks, bytes, length);
    this->chunked += size;
    if (ChunkCheck_isEnded(&this->chunks)) {
        this->part = PART_TRAILERS;
    }
    return size;
}

static gsize (*const readers[])(RequestFraming_t *this, char *bytes,
                                gsize length) = {
    [PART_HEAD] = read_line,
    [PART_LENGTH] = read_body,
    [PART_CHUNKS] = read_chunks,
    [PART_TRAILERS] = read_line,
};

static gsize
move_bytes(char *bytes, gsize to, gsize from, gsize count)
{
    if (to != from) {
        memmove(bytes + to, bytes + from, count);
    }
    return count;
}

static gboolean
is_between_requests(const RequestFraming_t *this)
{
    return !RequestFraming_isUnderWay(this) && !RequestFraming_isBroken(this);
}

/* Empty lines before a request are left out. */
gsize
RequestFraming_feed(RequestFraming_t *this, char *bytes, gsize length)
{
    gsize at = 0;
    gsize kept = 0;
    while (at < length && !RequestFraming_isBroken(this) &&
           !RequestFraming_hasTooManyLines(this)) {
        gboolean was_between = is_between_requests(this);
        if (was_between) {
            this->line_begin = this->checked + kept;
        }
        gsize size = readers[this->part](this, bytes + at, length - at);
        if (!was_between || !is_between_requests(this)) {
            kept += move_bytes(bytes, kept, at, size);
        }
        at += size;
    }
    kept += move_bytes(bytes, kept, at, length - at);
    this->checked += kept;
    return kept;
}

gboolean
RequestFraming_takeUnnamed(RequestFraming_t *this, UnnamedMethod_t *out)
{
    g_autofree UnnamedMethod_t *method = g_queue_pop_head(this->unnamed);
    if (method) {
        *out =
            (UnnamedMethod_t){method->word, this->checked - method->distance};
    }
    return method != NULL;
}

/* Those that wait stand behind the method. */
void
RequestFraming_noteAdded(RequestFraming_t *this, const UnnamedMethod_t *method,
                         gsize added)
{
    gsize begin = this->checked - method->distance;
    for (GList *link = this->unnamed->head; link; link = link->next) {
        UnnamedMethod_t *waiting = link->data;
        waiting->distance += added;
    }
    this->line_begin += this->line_begin > begin ? added : 0;
    this->checked += added;
}

gboolean
RequestFraming_isBehindData(const RequestFraming_t *this)
{
    return this->part == PART_CHUNKS && ChunkCheck_isBehindData(&this->chunks);
}

void
RequestFraming_noteAppended(RequestFraming_t *this, gsize added)
{
    this->checked += added;
}

gboolean
RequestFraming_hasBrokenLine(const RequestFraming_t *this)
{
    return LineCheck_isBroken(&this->syntax) || this->has_late_framing ||
           this->has_cut_framing || this->has_method;
}

gboolean
RequestFraming_hasUnclearEnd(const RequestFraming_t *this)
{
    return this->has_unclear_end;
}

gboolean
RequestFraming_isBroken(const RequestFraming_t *this)
{
    return ChunkCheck_isBroken(&this->chunks) || this->has_unclear_end ||
           RequestFraming_hasBrokenLine(this);
}

gboolean
RequestFraming_isInHead(const RequestFraming_t *this)
{
    return this->part == PART_HEAD &&
           (this->line_bytes > 0 || !this->is_first_line);
}

gsize
RequestFraming_headBytes(const RequestFraming_t *this)
{
    return this->head_bytes > 0 ? this->head_bytes : this->last_head_bytes;
}

gsize
RequestFraming_bytes(const RequestFraming_t *this)
{
    return this->checked - this->line_begin;
}

guint
RequestFraming_lines(const RequestFraming_t *this)
{
    return this->lines;
}

gboolean
RequestFraming_isUnderWay(const RequestFraming_t *this)
{
    return this->part != PART_HEAD || RequestFraming_isInHead(this);
}

gboolean
RequestFraming_mayBeFromRouter(const RequestFraming_t *this)
{
    gboolean is_in_line = this->part == PART_HEAD && !this->is_first_line &&
                          !this->is_line_cut && this->line_bytes > 0 &&
                          !RequestFraming_isBroken(this);
    gsize length = MIN(this->line_bytes, strlen(PROOF_PREFIX));
    return this->is_from_router ||
           (is_in_line &&
            g_ascii_strncasecmp(this->line, PROOF_PREFIX, length) == 0);
}

gboolean
RequestFraming_hasTooManyLines(const RequestFraming_t *this)
{
    guint added = this->is_from_router ? RELAY_ADDED_LINES : 0;
    return this->lines > HEAD_LINES_MAX + added;
}

guint64
RequestFraming_caller(const RequestFraming_t *this)
{
    return this->caller;
}

gboolean
RequestFraming_isChunked(const RequestFraming_t *this)
{
    return this->part == PART_CHUNKS;
}

guint64
RequestFraming_missingBody(const RequestFraming_t *this)
{
    return this->part == PART_LENGTH ? this->left : 0;
}

guint64
RequestFraming_expectedBody(const RequestFraming_t *this)
{
    switch (this->part) {
    case PART_LENGTH:
        return this->length;
    case PART_CHUNKS:
        return this->chunked;
    default:
        return 0;
    }
}

RequestFraming_t *
RequestFraming_create(const char *proof, const char *key_header)
{
    RequestFraming_t *this = g_new0(RequestFraming_t, 1);
    this->proof = proof;
    this->key_header = key_header;
    this->unnamed = g_queue_new();
    begin_head(this);
    return this;
}

static void
free_unnamed(gpointer data)
{
    UnnamedMethod_t *method = data;
    g_free(method->word);
    g_free(method);
}

void
RequestFraming_destroy(RequestFraming_t *this)
{
    g_queue_free_full(this->unnamed, free_unnamed);
    g_free(this);
}
