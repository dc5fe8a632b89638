#ifndef HEADER_Output
#define HEADER_Output
/**
 * DOC: Output
 *
 * How the command line shows messages: as text for people or as JSON for
 * scripts. Both follow the message's own descriptor, so that a new field
 * shows up without more code.
 */
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/** enum OutputForm_t - the words of --output */
typedef enum { OUTPUT_TEXT, OUTPUT_JSON } OutputForm_t;

/** Output_print() - write a message to standard output */
void Output_print(const ProtobufCMessage *message, OutputForm_t form);

#endif
