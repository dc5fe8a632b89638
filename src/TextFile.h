#ifndef HEADER_TextFile
#define HEADER_TextFile
/**
 * DOC: TextFile
 *
 * Reads whole files of bounded size, and tells whether a file has changed.
 */
#include <glib.h>

/**
 * enum TextFileKind_t - which files are read
 * @TEXT_FILE_ANY: all, so that a pipe or a device may block
 * @TEXT_FILE_REGULAR: regular files alone; never waits for a writer
 */
typedef enum {
    TEXT_FILE_ANY,
    TEXT_FILE_REGULAR,
} TextFileKind_t;

/**
 * struct FileStamp_t - differs between two versions of a file
 * @exists: the other fields are 0 if it does not
 */
typedef struct {
    gboolean exists;
    guint64 device;
    guint64 inode;
    gint64 size;
    gint64 changed_ns;
} FileStamp_t;

/**
 * TextFile_read() - read a file
 * @max: largest size in bytes
 * @length: receives the size
 * @error: WT_ERROR_FILE_UNREADABLE
 *
 * Return: a new string with a NUL byte at its end, or NULL
 */
char *TextFile_read(const char *path, TextFileKind_t kind, gsize max,
                    gsize *length, GError **error);

/** TextFile_stamp() - look at a file without opening it */
FileStamp_t TextFile_stamp(const char *path);

/** TextFile_isSame() - whether two stamps are of the same version */
gboolean TextFile_isSame(const FileStamp_t *a, const FileStamp_t *b);

#endif
