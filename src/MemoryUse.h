#ifndef HEADER_MemoryUse
#define HEADER_MemoryUse
/**
 * DOC: MemoryUse
 *
 * How much of its memory the process uses: its resident pages, as the system
 * counts them, and bytes that other modules count for it, such as those that
 * the kernel holds for sockets. In a build with a sanitizer the bytes that are
 * allocated take the place of the pages, most of which are the sanitizer's.
 * The one place that knows the sum; who takes memory asks for the room that is
 * left.
 */
#include <glib.h>

/** struct MemoryUse_t - opaque */
typedef struct MemoryUse MemoryUse_t;

/**
 * enum MemoryLevel_t - how much of the memory is used
 * @MEMORY_EASY: all may take what they need
 * @MEMORY_TIGHT: who keeps bytes without progress gives them up
 * @MEMORY_FULL: in addition, nothing new begins
 */
typedef enum {
    MEMORY_EASY,
    MEMORY_TIGHT,
    MEMORY_FULL,
} MemoryLevel_t;

/** MemoryUse_create() - begin with nothing counted
 * @max: bytes that the process may use; 0 for no limit */
MemoryUse_t *MemoryUse_create(gsize max);

/** MemoryUse_destroy() - free the object */
void MemoryUse_destroy(MemoryUse_t *this);

/** MemoryUse_setMax() - change @max of MemoryUse_create() */
void MemoryUse_setMax(MemoryUse_t *this, gsize max);

/**
 * MemoryUse_fit() - the limit that can be kept
 * @max: bytes that the settings name
 * @own: bytes that the process used before it served requests
 *
 * Return: 0 for none, if @own is more than a quarter of @max; a log line tells
 * of it
 */
gsize MemoryUse_fit(gsize max, gsize own);

/** MemoryUse_add() - count bytes that are not resident pages
 * @bytes: more than before; negative for fewer */
void MemoryUse_add(MemoryUse_t *this, gssize bytes);

/** MemoryUse_used() - bytes in use, measured some milliseconds ago at most */
gsize MemoryUse_used(MemoryUse_t *this, gint64 now_ms);

/** MemoryUse_own() - of MemoryUse_used(), what was not counted by other
 * modules, as of the last measurement */
gsize MemoryUse_own(const MemoryUse_t *this);

/** MemoryUse_max() - the limit in force; 0 for none */
gsize MemoryUse_max(const MemoryUse_t *this);

/** MemoryUse_room() - bytes that may still be taken, less a reserve for what
 * asks nobody; G_MAXSIZE without a limit */
gsize MemoryUse_room(MemoryUse_t *this, gint64 now_ms);

/** MemoryUse_excess() - bytes in use beyond those of MEMORY_EASY */
gsize MemoryUse_excess(MemoryUse_t *this, gint64 now_ms);

/** MemoryUse_trim() - give freed pages back to the system, unless that was
 * done a short while ago */
void MemoryUse_trim(MemoryUse_t *this, gint64 now_ms);

/** MemoryUse_level() - how much of the memory is used */
MemoryLevel_t MemoryUse_level(MemoryUse_t *this, gint64 now_ms);

/** MemoryUse_levelWith() - the level if so many bytes more were in use */
MemoryLevel_t MemoryUse_levelWith(MemoryUse_t *this, gsize more,
                                  gint64 now_ms);

#endif
