/**
 * DOC: wt-standin
 *
 * Runs the stand-in that the first argument names:
 * wt-standin log|instances|engine|service [OPTION...]
 */
#include <stdio.h>
#include <string.h>

#include "standins.h"

static const struct {
    const char *name;
    int (*run)(int argc, char **argv);
} roles[] = {
    {"log", LogStandin_run},
    {"instances", InstancesStandin_run},
    {"engine", EngineStandin_run},
    {"service", ServiceStandin_run},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < sizeof(roles) / sizeof(*roles); i++) {
        if (strcmp(roles[i].name, argv[1]) == 0) {
            return roles[i].run(argc - 1, argv + 1);
        }
    }
    fputs("usage: wt-standin log|instances|engine|service [OPTION...]\n",
          stderr);
    return 2;
}
