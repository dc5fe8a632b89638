#ifndef HEADER_IniFile
#define HEADER_IniFile
/**
 * DOC: IniFile
 *
 * An INI file read by GKeyFile, with what GKeyFile does not tell: the line
 * of each section and key, and which of them stand twice.
 */
#include <glib.h>

/**
 * struct IniFile_t - opaque
 */
typedef struct IniFile IniFile_t;

/**
 * IniFile_create() - read a file
 * @path: where it is
 * @problems: gets every fault of its form
 *
 * Return: the file, also where only some lines are at fault; NULL where
 * nothing can be read
 */
IniFile_t *IniFile_create(const char *path, GPtrArray *problems);

/**
 * IniFile_destroy() - free it
 */
void IniFile_destroy(IniFile_t *this);

/**
 * IniFile_path() - as it was given
 */
const char *IniFile_path(const IniFile_t *this);

/**
 * IniFile_sections() - names of all sections in their order
 *
 * Return: a NULL-ended array, freed by g_strfreev()
 */
char **IniFile_sections(const IniFile_t *this);

/**
 * IniFile_fields() - the keys and values of a section
 *
 * Return: a new table of text to text, both owned by it
 */
GHashTable *IniFile_fields(const IniFile_t *this, const char *section);

/**
 * IniFile_line() - where a section (@key NULL) or a key stands
 *
 * Return: counted from 1, 0 where it does not stand
 */
guint IniFile_line(const IniFile_t *this, const char *section,
                   const char *key);

#endif
