#ifndef HEADER_targets
#define HEADER_targets
/**
 * DOC: targets
 *
 * The parsers that bytes from outside reach, each behind one function that
 * takes any bytes. A target checks what must hold for any input by
 * g_assert(); memory and undefined behaviour are left to the sanitizers.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct FuzzTarget_t - one target
 * @name: also that of its folder of seeds
 * @run: returns 0
 */
typedef struct {
    const char *name;
    int (*run)(const uint8_t *data, size_t size);
} FuzzTarget_t;

/** fuzz_targets - all of them, ended by one without a name */
extern const FuzzTarget_t fuzz_targets[];

/** FuzzTargets_begin() - once for each process, before any input */
void FuzzTargets_begin(void);

int Fuzz_callerHead(const uint8_t *data, size_t size);
int Fuzz_upstreamHead(const uint8_t *data, size_t size);
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
