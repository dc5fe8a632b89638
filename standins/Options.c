#include "Options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static gboolean
take(const char *name, const char *value, const Knob_t *knobs,
     gsize knob_count, const TextOption_t *texts, gsize text_count)
{
    for (gsize i = 0; i < knob_count; i++) {
        if (strcmp(knobs[i].name, name) == 0) {
            *knobs[i].value = g_ascii_strtoll(value, NULL, 10);
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
Options_parse(int argc, char **argv, const Knob_t *knobs, gsize knob_count,
              const TextOption_t *texts, gsize text_count)
{
    for (int i = 1; i < argc; i += 2) {
        gboolean good = g_str_has_prefix(argv[i], "--") && i + 1 < argc &&
                        take(argv[i] + 2, argv[i + 1], knobs, knob_count,
                             texts, text_count);
        if (!good) {
            fprintf(stderr, "bad option %s\n", argv[i]);
            exit(2);
        }
    }
}
