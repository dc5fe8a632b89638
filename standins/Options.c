#include "Options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static gboolean
set_option(const char *name, const char *value, const Parameter_t *parameters,
           gsize parameter_count, const TextOption_t *texts, gsize text_count)
{
    for (gsize i = 0; i < parameter_count; i++) {
        if (strcmp(parameters[i].name, name) == 0) {
            *parameters[i].value = g_ascii_strtoll(value, NULL, 10);
            return TRUE;
        }
    }
    for (gsize i = 0; i < text_count; i++) {
        if (strcmp(texts[i].name, name) == 0) {
            *texts[i].value = value;
            return TRUE;
        }
    }
    return FALSE;
}

void
Options_parse(int argc, char **argv, const Parameter_t *parameters,
              gsize parameter_count, const TextOption_t *texts,
              gsize text_count)
{
    for (int i = 1; i < argc; i += 2) {
        gboolean is_valid = g_str_has_prefix(argv[i], "--") && i + 1 < argc &&
                            set_option(argv[i] + 2, argv[i + 1], parameters,
                                       parameter_count, texts, text_count);
        if (!is_valid) {
            fprintf(stderr, "bad option %s\n", argv[i]);
            exit(2);
        }
    }
}
