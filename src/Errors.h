#ifndef HEADER_Errors
#define HEADER_Errors
/**
 * DOC: Errors
 *
 * The GError domain of wheattiller and its codes. What a caller sees of a
 * failed request is a Refusal_t (Refusal.h), never one of these.
 */
#include <glib.h>

#define WT_ERROR Errors_quark()

/**
 * enum ErrorKind_t - every failure inside a process
 * @WT_ERROR_FILE_UNREADABLE: a file could not be read
 * @WT_ERROR_INVALID_DECLARATIONS: settings or declarations failed the checks
 * @WT_ERROR_CONNECT: a peer was not reached; nothing was sent
 * @WT_ERROR_TIMEOUT: no answer came in time; the effect is unknown
 * @WT_ERROR_CUT: the connection ended early; the effect is unknown
 * @WT_ERROR_REFUSED: the peer answered that it will not
 * @WT_ERROR_BAD_ANSWER: the peer's answer does not follow its interface
 * @WT_ERROR_TRUNCATED: the log no longer has the offset that was asked for
 * @WT_ERROR_OLD_EPOCH: the store has come back from an older copy since this
 *     answer was made; the effect is unknown
 * @WT_ERROR_BAD_TOKEN: a resume token is forged, damaged or of other keys
 * @WT_ERROR_BAD_BODY: a request's body is not what the interface asks for
 * @WT_ERROR_LISTEN: an address could not be listened on
 */
typedef enum {
    WT_ERROR_FILE_UNREADABLE,
    WT_ERROR_INVALID_DECLARATIONS,
    WT_ERROR_CONNECT,
    WT_ERROR_TIMEOUT,
    WT_ERROR_CUT,
    WT_ERROR_REFUSED,
    WT_ERROR_BAD_ANSWER,
    WT_ERROR_TRUNCATED,
    WT_ERROR_OLD_EPOCH,
    WT_ERROR_BAD_TOKEN,
    WT_ERROR_BAD_BODY,
    WT_ERROR_LISTEN,
} ErrorKind_t;

/**
 * Errors_quark() - the GError domain
 */
GQuark Errors_quark(void);

#endif
