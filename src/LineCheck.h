#ifndef HEADER_LineCheck
#define HEADER_LineCheck
/**
 * DOC: LineCheck
 *
 * Checks the lines of heads and trailers (RFC 9112, sections 2.2, 3, 4 and 5).
 * evhttp ends a line at a bare line feed and at a zero byte, and joins lines
 * that begin with a blank, so that it reads other fields than a strict reader.
 * It reads a status as a number of any length, sign and value, and takes what
 * follows the number for the reason.
 * The check sees the bytes before evhttp reads them.
 */
#include <glib.h>

/**
 * enum LineState_t - what the next byte of a line belongs to
 * @LINE_BEGIN: the beginning of a line
 * @LINE_NAME: the name of a field
 * @LINE_TEXT: the value of a field, or a request or status line
 * @LINE_END: the line feed
 * @LINE_BROKEN: the line is malformed
 */
typedef enum {
    LINE_BEGIN,
    LINE_NAME,
    LINE_TEXT,
    LINE_END,
    LINE_BROKEN,
} LineState_t;

/**
 * enum LineKind_t - kind of a line
 * @LINE_OF_REQUEST: a method, a target and a version
 * @LINE_OF_STATUS: a version, HTTP/1.0 or HTTP/1.1, three digits from 100 to
 *     599, and a reason or none
 * @LINE_OF_FIELD: a field
 * @LINE_OF_FOLDABLE: a field, or the next line of the field before it
 */
typedef enum {
    LINE_OF_REQUEST,
    LINE_OF_STATUS,
    LINE_OF_FIELD,
    LINE_OF_FOLDABLE,
} LineKind_t;

/**
 * enum LineFault_t - why a line is malformed
 * @LINE_FAULT_NONE: it is sound
 * @LINE_FAULT_LINE_FEED: a line feed without a carriage return
 * @LINE_FAULT_FOLD: it begins with a blank, as the next line of a field does
 * @LINE_FAULT_STATUS: it states no status
 * @LINE_FAULT_OTHER: another byte that may not stand there
 */
typedef enum {
    LINE_FAULT_NONE,
    LINE_FAULT_LINE_FEED,
    LINE_FAULT_FOLD,
    LINE_FAULT_STATUS,
    LINE_FAULT_OTHER,
} LineFault_t;

/**
 * struct LineCheck_t - the check of one line after the other; all zero before
 * the first one
 * @state: what the next byte belongs to
 * @blanks: blanks so far in a request line
 * @is_after_blank: the last byte of a request line was a blank
 * @status_bytes: bytes of a status line so far, its reason not included
 * @broken_by: what was malformed
 */
typedef struct {
    LineState_t state;
    guint blanks;
    gboolean is_after_blank;
    guint status_bytes;
    LineFault_t broken_by;
} LineCheck_t;

/** LineCheck_isToken() - whether a byte may stand in the name of a field
 * (RFC 9110, section 5.6.2) */
gboolean LineCheck_isToken(char byte);

/**
 * LineCheck_feed() - check the next byte
 * @kind: of the line that the byte belongs to
 *
 * An empty line is sound.
 */
void LineCheck_feed(LineCheck_t *this, LineKind_t kind, char byte);

/** LineCheck_isBroken() - whether a line was malformed */
gboolean LineCheck_isBroken(const LineCheck_t *this);

#endif
