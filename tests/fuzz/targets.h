#ifndef HEADER_targets
#define HEADER_targets
/**
 * DOC: targets
 *
 * Fuzz targets: one function for each parser of external input. A target
 * accepts any bytes and checks with g_assert() the properties that hold for
 * every input. The sanitizers detect memory errors and undefined behaviour.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct FuzzTarget_t - fuzz target
 * @name: name of the target and of its seed folder
 * @run: processes one input; always returns 0
 */
typedef struct {
    const char *name;
    int (*run)(const uint8_t *data, size_t size);
} FuzzTarget_t;

/** fuzz_targets - all targets; the last entry has a NULL name */
extern const FuzzTarget_t fuzz_targets[];

/** FuzzTargets_begin() - initialize a process before its first input */
void FuzzTargets_begin(void);

int Fuzz_callerHead(const uint8_t *data, size_t size);
int Fuzz_requestFraming(const uint8_t *data, size_t size);
int Fuzz_upstreamHead(const uint8_t *data, size_t size);
int Fuzz_bodyFraming(const uint8_t *data, size_t size);
int Fuzz_answerBytes(const uint8_t *data, size_t size);
int Fuzz_engineHead(const uint8_t *data, size_t size);
int Fuzz_engineEvents(const uint8_t *data, size_t size);
int Fuzz_eventPipe(const uint8_t *data, size_t size);
int Fuzz_sseParser(const uint8_t *data, size_t size);
int Fuzz_storeAnswers(const uint8_t *data, size_t size);
int Fuzz_logAnswers(const uint8_t *data, size_t size);
int Fuzz_platformRecords(const uint8_t *data, size_t size);
int Fuzz_configRecords(const uint8_t *data, size_t size);
int Fuzz_peerMessages(const uint8_t *data, size_t size);
int Fuzz_peerLink(const uint8_t *data, size_t size);
int Fuzz_claims(const uint8_t *data, size_t size);
int Fuzz_settings(const uint8_t *data, size_t size);
int Fuzz_declarations(const uint8_t *data, size_t size);
int Fuzz_prompt(const uint8_t *data, size_t size);
int Fuzz_resumeToken(const uint8_t *data, size_t size);
int Fuzz_json(const uint8_t *data, size_t size);
int Fuzz_logLine(const uint8_t *data, size_t size);

#endif
