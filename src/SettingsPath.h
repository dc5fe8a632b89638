#ifndef HEADER_SettingsPath
#define HEADER_SettingsPath
/**
 * DOC: SettingsPath
 *
 * Which file holds the settings of a router. An option names it, else a
 * variable of the environment, else an option for starts without the variable.
 */
#include <glib.h>

/** struct SettingsPath_t - what may name the file; NULL or empty: it does not
 * @option: path given as an option
 * @variables: names of variables, in the order in which they are asked; ends
 *     with NULL
 * @fallback: path given as the option of last resort
 */
typedef struct {
    const char *option;
    const char *const *variables;
    const char *fallback;
} SettingsPath_t;

/**
 * SettingsPath_choose() - choose the path and log it
 *
 * Return: a string of @this or of the environment, or NULL if nothing names
 * the file
 */
const char *SettingsPath_choose(const SettingsPath_t *this);

#endif
