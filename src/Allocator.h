#ifndef HEADER_Allocator
#define HEADER_Allocator
/**
 * DOC: Allocator
 *
 * How the C library keeps memory that was freed. By default its limits grow
 * with the largest block that was freed, after which bodies of megabytes come
 * from the heap, whose free pages stay with the process.
 */
#include <glib.h>

/** Allocator_init() - give large blocks back once they are freed; once per
 * process, before it allocates much */
void Allocator_init(void);

/**
 * Allocator_giveBack() - give free pages back after a long text was read
 * @bytes: of that text; nothing happens if they are few
 *
 * What is made of it, and what that replaces, takes many times as much memory
 * in small blocks, whose pages stay with the process otherwise.
 */
void Allocator_giveBack(gsize bytes);

#endif
