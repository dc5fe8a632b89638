#include "LineCheck.h"

#include <string.h>

/* Between a method, a target and a version. */
#define REQUEST_BLANKS 2
/* What a status line begins with; the parts that vary are x. */
#define STATUS_START "HTTP/1.x xxx "
#define MINOR_OFFSET 7
#define STATUS_OFFSET 9
#define STATUS_END 12

gboolean
LineCheck_isToken(char byte)
{
    return g_ascii_isalnum(byte) || (byte && strchr("!#$%&'*+-.^_`|~", byte));
}

static LineState_t
read_text(LineCheck_t *this, LineKind_t kind, char byte)
{
    (void)this;
    (void)kind;
    switch (byte) {
    case '\r':
        return LINE_END;
    case '\n':
    case '\0':
        return LINE_BROKEN;
    default:
        return LINE_TEXT;
    }
}

static LineState_t
read_name(LineCheck_t *this, LineKind_t kind, char byte)
{
    (void)this;
    (void)kind;
    if (byte == ':') {
        return LINE_TEXT;
    }
    return LineCheck_isToken(byte) ? LINE_NAME : LINE_BROKEN;
}

static gboolean
is_blank(char byte)
{
    return byte == ' ' || byte == '\t';
}

static LineState_t
read_begin(LineCheck_t *this, LineKind_t kind, char byte)
{
    this->blanks = 0;
    this->is_after_blank = FALSE;
    this->status_bytes = 0;
    if (byte == '\r') {
        return LINE_END;
    }
    if (kind == LINE_OF_STATUS ||
        (kind == LINE_OF_FOLDABLE && is_blank(byte))) {
        return read_text(this, kind, byte);
    }
    if (!LineCheck_isToken(byte)) {
        return LINE_BROKEN;
    }
    return kind == LINE_OF_REQUEST ? LINE_TEXT : LINE_NAME;
}

static LineState_t
read_end(LineCheck_t *this, LineKind_t kind, char byte)
{
    (void)this;
    (void)kind;
    return byte == '\n' ? LINE_BEGIN : LINE_BROKEN;
}

static LineState_t (*const readers[])(LineCheck_t *this, LineKind_t kind,
                                      char byte) = {
    [LINE_BEGIN] = read_begin,
    [LINE_NAME] = read_name,
    [LINE_TEXT] = read_text,
    [LINE_END] = read_end,
};

static gboolean
may_end_word(const LineCheck_t *this, gboolean is_end)
{
    return !this->is_after_blank && (this->blanks == REQUEST_BLANKS) == is_end;
}

/* A blank too many would be a part of the target or of the version. */
static void
check_request_line(LineCheck_t *this, char byte)
{
    gboolean is_space = byte == ' ';
    gboolean is_end = this->state == LINE_END;
    gboolean is_sound =
        this->blanks > 0 ? byte != '\t' : LineCheck_isToken(byte);
    if (is_space || is_end) {
        is_sound = may_end_word(this, is_end);
    }
    this->blanks += is_space ? 1 : 0;
    this->is_after_blank = is_space;
    if (!is_sound) {
        this->state = LINE_BROKEN;
    }
}

/* Statuses of 600 and above are invalid (RFC 9110, section 15). */
static gboolean
fits_status_line(guint at, char byte)
{
    switch (at) {
    case MINOR_OFFSET:
        return byte == '0' || byte == '1';
    case STATUS_OFFSET:
        return byte >= '1' && byte <= '5';
    case STATUS_OFFSET + 1:
    case STATUS_OFFSET + 2:
        return g_ascii_isdigit(byte);
    default:
        return at > STATUS_END || byte == STATUS_START[at];
    }
}

static void
check_status_line(LineCheck_t *this, char byte)
{
    gboolean is_sound = this->state == LINE_END
                            ? this->status_bytes >= STATUS_END
                            : fits_status_line(this->status_bytes, byte);
    if (this->status_bytes <= STATUS_END) {
        this->status_bytes++;
    }
    if (!is_sound) {
        this->state = LINE_BROKEN;
    }
}

static void
check_words(LineCheck_t *this, LineKind_t kind, char byte)
{
    if (kind == LINE_OF_REQUEST) {
        check_request_line(this, byte);
    }
    else if (kind == LINE_OF_STATUS && this->state != LINE_BROKEN) {
        check_status_line(this, byte);
    }
}

static LineFault_t
fault_of(LineState_t before, LineKind_t kind, char byte)
{
    if (byte == '\n') {
        return LINE_FAULT_LINE_FEED;
    }
    if (kind == LINE_OF_STATUS && before != LINE_END) {
        return LINE_FAULT_STATUS;
    }
    return before == LINE_BEGIN && is_blank(byte) ? LINE_FAULT_FOLD
                                                  : LINE_FAULT_OTHER;
}

void
LineCheck_feed(LineCheck_t *this, LineKind_t kind, char byte)
{
    LineState_t before = this->state;
    if (before == LINE_BROKEN) {
        return;
    }
    this->state = readers[before](this, kind, byte);
    if (before == LINE_TEXT || this->state == LINE_TEXT) {
        check_words(this, kind, byte);
    }
    if (this->state == LINE_BROKEN) {
        this->broken_by = fault_of(before, kind, byte);
    }
}

gboolean
LineCheck_isBroken(const LineCheck_t *this)
{
    return this->state == LINE_BROKEN;
}
