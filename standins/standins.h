#ifndef HEADER_standins
#define HEADER_standins
/**
 * DOC: standins
 *
 * Programs that replace the platform, the engines and the plain services in
 * tests and benchmarks. Each runs until SIGTERM and returns the exit status.
 */

/** LogStandin_run() - the append-only log service */
int LogStandin_run(int argc, char **argv);

/** InstancesStandin_run() - the list of live and leaving instances */
int InstancesStandin_run(int argc, char **argv);

/** EngineStandin_run() - a model engine */
int EngineStandin_run(int argc, char **argv);

/** ServiceStandin_run() - a plain service */
int ServiceStandin_run(int argc, char **argv);

#endif
