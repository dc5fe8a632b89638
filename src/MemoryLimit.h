#ifndef HEADER_MemoryLimit
#define HEADER_MemoryLimit
/**
 * DOC: MemoryLimit
 *
 * Fits the settings for memory to what the system lets the process use. GLib
 * ends the process if an allocation fails, so that bodies and answers must not
 * grow into the limit of its address space or data.
 */
#include "Settings.h"

/**
 * MemoryLimit_room() - bytes that the process may use beyond what it uses now
 *
 * Return: G_MAXINT64 for no limit
 */
gint64 MemoryLimit_room(void);

/**
 * MemoryLimit_fit() - lower settings that exceed the room, with a log line
 * @limits: @memory and @answers_max are changed
 * @room: from MemoryLimit_room() before requests were served
 */
void MemoryLimit_fit(LimitsSection_t *limits, gint64 room);

#endif
