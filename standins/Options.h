#ifndef HEADER_Options
#define HEADER_Options
/**
 * DOC: Options
 *
 * "--name value" pairs of a stand-in's command line, into its knobs and
 * texts.
 */
#include <glib.h>

#include "Server.h"

/**
 * struct TextOption_t - an option whose value is a text
 */
typedef struct {
    const char *name;
    const char **value;
} TextOption_t;

/** Options_parse() - fill knobs and texts; ends the process on a bad one */
void Options_parse(int argc, char **argv, const Knob_t *knobs,
                   gsize knob_count, const TextOption_t *texts,
                   gsize text_count);

#endif
