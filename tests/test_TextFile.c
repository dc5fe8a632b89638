#include "testing.h"

#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "Errors.h"
#include "TextFile.h"

#define MAX_BYTES 100

static char *folder;
static char *path;

static void
begin(void)
{
    folder = g_dir_make_tmp("wt-test-XXXXXX", NULL);
    ck_assert_ptr_nonnull(folder);
    path = g_build_filename(folder, "file", NULL);
}

static void
end(void)
{
    g_unlink(path);
    g_rmdir(folder);
    g_free(path);
    g_free(folder);
}

static void
write_bytes(gsize count)
{
    g_autofree char *text = g_strnfill(count, 'x');
    ck_assert(g_file_set_contents(path, text, (gssize)count, NULL));
}

static void
assert_refused(const char *name, TextFileKind_t kind, const char *reason)
{
    gsize length = 0;
    g_autoptr(GError) error = NULL;
    ck_assert_ptr_null(TextFile_read(name, kind, MAX_BYTES, &length, &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_FILE_UNREADABLE));
    ck_assert_str_eq(error->message, reason);
}

START_TEST(a_file_is_read_up_to_the_largest_size)
{
    static const gsize sizes[] = {0, 1, MAX_BYTES};
    begin();
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        gsize length = MAX_BYTES + 1;
        write_bytes(sizes[i]);
        g_autofree char *text =
            TextFile_read(path, TEXT_FILE_REGULAR, MAX_BYTES, &length, NULL);
        ck_assert_ptr_nonnull(text);
        ck_assert_uint_eq(length, sizes[i]);
        ck_assert_uint_eq(strlen(text), sizes[i]);
    }
    write_bytes(MAX_BYTES + 1);
    assert_refused(path, TEXT_FILE_REGULAR, "too large");
    assert_refused(path, TEXT_FILE_ANY, "too large");
    end();
}
END_TEST

START_TEST(what_could_block_is_not_read)
{
    begin();
    ck_assert_int_eq(mkfifo(path, S_IRUSR | S_IWUSR), 0);
    assert_refused(path, TEXT_FILE_REGULAR, "not a regular file");
    assert_refused(folder, TEXT_FILE_REGULAR, "not a regular file");
    assert_refused("/dev/zero", TEXT_FILE_REGULAR, "not a regular file");
    assert_refused("/dev/zero", TEXT_FILE_ANY, "too large");
    end();
}
END_TEST

START_TEST(a_missing_file_is_an_error)
{
    begin();
    assert_refused(path, TEXT_FILE_ANY, "No such file or directory");
    ck_assert(!TextFile_stamp(path).exists);
    end();
}
END_TEST

START_TEST(a_changed_file_has_another_stamp)
{
    begin();
    FileStamp_t none = TextFile_stamp(path);
    write_bytes(1);
    FileStamp_t first = TextFile_stamp(path);
    FileStamp_t again = TextFile_stamp(path);
    write_bytes(2);
    FileStamp_t second = TextFile_stamp(path);
    ck_assert(!TextFile_isSame(&none, &first));
    ck_assert(TextFile_isSame(&first, &again));
    ck_assert(!TextFile_isSame(&first, &second));
    end();
}
END_TEST

TESTING_MAIN("TextFile", a_file_is_read_up_to_the_largest_size,
             what_could_block_is_not_read, a_missing_file_is_an_error,
             a_changed_file_has_another_stamp)
