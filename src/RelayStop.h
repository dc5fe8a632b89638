#ifndef HEADER_RelayStop
#define HEADER_RelayStop
/**
 * DOC: RelayStop
 *
 * Checks requests that are relayed while their router is to end: those that
 * would outlast it are refused before they are sent (see StopOutlook).
 */
#include "Context.h"

/**
 * struct RelayStopRequest_t - a request that is not sent yet
 * @id: its id
 * @route: name of its route
 * @size: size of its answer as its caller states it, 0 if unknown
 * @deadline_ms: monotonic time by which its answer must be complete
 */
typedef struct {
    const char *id;
    const char *route;
    guint size;
    gint64 deadline_ms;
} RelayStopRequest_t;

/** RelayStop_isOutlasting() - whether the request is likely to be broken off
 * by the end of this router; FALSE while it is not told to end */
gboolean RelayStop_isOutlasting(const Context_t *context,
                                const RelayStopRequest_t *request);

/**
 * RelayStop_noteRefused() - log and count a request refused for that
 * @stage: "arrival" or "placing"
 */
void RelayStop_noteRefused(const Context_t *context,
                           const RelayStopRequest_t *request,
                           const char *stage);

#endif
