#include "TextFile.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "Errors.h"

#define NS_PER_S 1000000000LL
#define READ_BYTES 16384

static void
set_error(const char *reason, GError **error)
{
    g_set_error_literal(error, WT_ERROR, WT_ERROR_FILE_UNREADABLE, reason);
}

/* Returns -1 if the file can't be opened or is of another kind. */
static int
open_file(const char *path, TextFileKind_t kind, GError **error)
{
    struct stat found;
    int flags = kind == TEXT_FILE_REGULAR ? O_NONBLOCK | O_NOCTTY : 0;
    int fd = open(path, O_RDONLY | O_CLOEXEC | flags);
    if (fd < 0) {
        set_error(g_strerror(errno), error);
        return -1;
    }
    if (kind == TEXT_FILE_REGULAR &&
        (fstat(fd, &found) != 0 || !S_ISREG(found.st_mode))) {
        set_error("not a regular file", error);
        close(fd);
        return -1;
    }
    return fd;
}

static gboolean
read_all(int fd, GString *text, gsize max, GError **error)
{
    char bytes[READ_BYTES];
    for (;;) {
        ssize_t size = read(fd, bytes, sizeof(bytes));
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0) {
            set_error(g_strerror(errno), error);
            return FALSE;
        }
        if (size == 0) {
            return TRUE;
        }
        g_string_append_len(text, bytes, size);
        if (text->len > max) {
            set_error("too large", error);
            return FALSE;
        }
    }
}

char *
TextFile_read(const char *path, TextFileKind_t kind, gsize max, gsize *length,
              GError **error)
{
    int fd = open_file(path, kind, error);
    if (fd < 0) {
        return NULL;
    }
    GString *text = g_string_new(NULL);
    gboolean is_read = read_all(fd, text, max, error);
    close(fd);
    *length = text->len;
    return g_string_free(text, !is_read);
}

FileStamp_t
TextFile_stamp(const char *path)
{
    struct stat found;
    if (stat(path, &found) != 0) {
        return (FileStamp_t){0};
    }
    return (FileStamp_t){
        .exists = TRUE,
        .device = (guint64)found.st_dev,
        .inode = (guint64)found.st_ino,
        .size = (gint64)found.st_size,
        .changed_ns =
            (gint64)found.st_ctim.tv_sec * NS_PER_S + found.st_ctim.tv_nsec,
    };
}

gboolean
TextFile_isSame(const FileStamp_t *a, const FileStamp_t *b)
{
    return a->exists == b->exists && a->device == b->device &&
           a->inode == b->inode && a->size == b->size &&
           a->changed_ns == b->changed_ns;
}
