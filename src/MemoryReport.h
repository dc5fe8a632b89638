#ifndef HEADER_MemoryReport
#define HEADER_MemoryReport
/**
 * DOC: MemoryReport
 *
 * Tells in the log what holds the memory of the process when requests are
 * refused for want of it. What the parts count is told beside what the system
 * counts: if the latter is much more, bytes are held that no bound knows.
 */
#include "BodyBudget.h"
#include "MemoryUse.h"

/**
 * struct MemoryParts_t - who counts what; all objects must outlive the report
 * @memory: of the process
 * @answers: bytes of answers that arrive, and of incomplete events
 * @streams: bytes of streams that wait for their callers
 * @bodies: of requests; NULL as long as none are received
 */
typedef struct {
    MemoryUse_t *memory;
    const gsize *answers;
    const gsize *streams;
    const BodyBudget_t *bodies;
} MemoryParts_t;

/** struct MemoryReport_t - opaque */
typedef struct MemoryReport MemoryReport_t;

/** MemoryReport_create() - begin without a line
 * @parts: not copied; read at each line */
MemoryReport_t *MemoryReport_create(const MemoryParts_t *parts);

/** MemoryReport_destroy() - free the object */
void MemoryReport_destroy(MemoryReport_t *this);

/**
 * MemoryReport_noteRefusal() - a request is refused for want of memory
 *
 * Return: whether a line was written, which is done once a second at most
 */
gboolean MemoryReport_noteRefusal(MemoryReport_t *this, gint64 now_ms);

#endif
