#ifndef HEADER_Output
#define HEADER_Output
/**
 * DOC: Output
 *
 * Prints protobuf messages on the command line, as text for people or as JSON
 * for scripts. Both are generated from the message descriptor, so that a new
 * field needs no code here.
 */
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/** enum OutputForm_t - values of --output */
typedef enum { OUTPUT_TEXT, OUTPUT_JSON } OutputForm_t;

/** Output_print() - print a message to standard output */
void Output_print(const ProtobufCMessage *message, OutputForm_t form);

#endif
