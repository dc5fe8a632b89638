#ifndef HEADER_Allocator
#define HEADER_Allocator
/**
 * DOC: Allocator
 *
 * How the C library keeps memory that was freed. By default its limits grow
 * with the largest block that was freed, after which bodies of megabytes come
 * from the heap, whose free pages stay with the process.
 */

/** Allocator_init() - give large blocks back once they are freed; once per
 * process, before it allocates much */
void Allocator_init(void);

#endif
