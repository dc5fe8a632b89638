#ifndef HEADER_Options
#define HEADER_Options
/**
 * DOC: Options
 *
 * Parses the "--name value" pairs of a stand-in's command line into its
 * parameters and text options.
 */
#include <glib.h>

#include "Server.h"

/**
 * struct TextOption_t - an option with a string value
 * @name: name on the command line, without the dashes
 * @value: where the value is stored; points into argv
 */
typedef struct {
    const char *name;
    const char **value;
} TextOption_t;

/** Options_parse() - set parameters and text options; exits with 2 on an
 * unknown option or a missing value */
void Options_parse(int argc, char **argv, const Parameter_t *parameters,
                   gsize parameter_count, const TextOption_t *texts,
                   gsize text_count);

#endif
