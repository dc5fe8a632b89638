#ifndef HEADER_Errors
#define HEADER_Errors
/**
 * DOC: Errors
 *
 * The GError domain of wheattiller and its codes. They stay inside the
 * process: a caller whose request fails gets a Refusal_t (Refusal.h).
 */
#include <glib.h>

#define WT_ERROR Errors_quark()

/**
 * enum ErrorKind_t - kinds of failures inside a process
 * @WT_ERROR_FILE_UNREADABLE: a file could not be read
 * @WT_ERROR_INVALID_DECLARATIONS: settings or declarations are invalid
 * @WT_ERROR_CONNECT: the connection failed; nothing was sent
 * @WT_ERROR_TIMEOUT: no answer arrived in time; the effect is unknown
 * @WT_ERROR_LATE: no answer arrived yet; the call continues
 * @WT_ERROR_CUT: the connection was closed before the answer was complete; the
 *     effect is unknown
 * @WT_ERROR_REFUSED: the peer refused the request
 * @WT_ERROR_BAD_ANSWER: the peer's answer is malformed
 * @WT_ERROR_TRUNCATED: the log no longer has the requested offset
 * @WT_ERROR_OLD_EPOCH: the answer predates a restore of the store from an
 *     older copy; the effect is unknown
 * @WT_ERROR_BAD_TOKEN: a resume token is forged, damaged or uses other keys
 * @WT_ERROR_BAD_BODY: a request body is malformed
 * @WT_ERROR_LISTEN: listening on an address failed
 * @WT_ERROR_EVENT_LOOP: the event loop ended without being told to
 * @WT_ERROR_DESCRIPTORS: the process can open no more files or sockets
 */
typedef enum {
    WT_ERROR_FILE_UNREADABLE,
    WT_ERROR_INVALID_DECLARATIONS,
    WT_ERROR_CONNECT,
    WT_ERROR_TIMEOUT,
    WT_ERROR_LATE,
    WT_ERROR_CUT,
    WT_ERROR_REFUSED,
    WT_ERROR_BAD_ANSWER,
    WT_ERROR_TRUNCATED,
    WT_ERROR_OLD_EPOCH,
    WT_ERROR_BAD_TOKEN,
    WT_ERROR_BAD_BODY,
    WT_ERROR_LISTEN,
    WT_ERROR_EVENT_LOOP,
    WT_ERROR_DESCRIPTORS,
} ErrorKind_t;

/**
 * Errors_quark() - the GError domain
 */
GQuark Errors_quark(void);

#endif
