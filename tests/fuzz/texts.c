/* Fuzz targets for texts: settings, declarations, request bodies, resume
 * tokens, JSON and log lines. */
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "Declarations.h"
#include "IniFile.h"
#include "Json.h"
#include "Log.h"
#include "LogLine.h"
#include "Problem.h"
#include "Prompt.h"
#include "ResumeToken.h"
#include "Settings.h"
#include "targets.h"

/* Longest field of a sealed token in bytes, as a name may have. */
#define FIELD_MAX 64

/* Writes the data to a memory file and returns the path to read it by. */
static char *
create_file(const uint8_t *data, size_t size, int *fd)
{
    *fd = memfd_create("fuzz", MFD_CLOEXEC);
    g_assert_cmpint(*fd, >=, 0);
    g_assert_cmpint(write(*fd, data, size), ==, (gssize)size);
    return g_strdup_printf("/proc/self/fd/%d", *fd);
}

static void
format_problems(const GPtrArray *problems)
{
    for (guint i = 0; i < problems->len; i++) {
        GString *text = Problem_format(g_ptr_array_index(problems, i));
        g_string_free(text, TRUE);
    }
}

/* Checks that every section and key of a valid file has a line number, which
 * reports of problems contain. */
static void
check_line_numbers(const char *path)
{
    GPtrArray *problems = Problems_create();
    IniFile_t *ini = IniFile_create(path, problems);
    g_auto(GStrv) sections = IniFile_sections(ini);
    for (guint i = 0; problems->len == 0 && sections[i]; i++) {
        GHashTable *fields = IniFile_fields(ini, sections[i]);
        GHashTableIter iter;
        gpointer key = NULL;
        g_assert_cmpuint(IniFile_line(ini, sections[i], NULL), >, 0);
        g_hash_table_iter_init(&iter, fields);
        while (g_hash_table_iter_next(&iter, &key, NULL)) {
            g_assert_cmpuint(IniFile_line(ini, sections[i], key), >, 0);
        }
        g_hash_table_destroy(fields);
    }
    IniFile_destroy(ini);
    g_ptr_array_unref(problems);
}

int
Fuzz_settings(const uint8_t *data, size_t size)
{
    int fd = -1;
    g_autofree char *path = create_file(data, size, &fd);
    GPtrArray *problems = Problems_create();
    Settings_t *settings = Settings_create(path, problems);
    g_assert((settings == NULL) == (problems->len > 0));
    g_assert(!settings || !memchr(data, '\0', size));
    if (settings) {
        Settings_destroy(settings);
    }
    format_problems(problems);
    check_line_numbers(path);
    g_ptr_array_unref(problems);
    close(fd);
    return 0;
}

int
Fuzz_declarations(const uint8_t *data, size_t size)
{
    int fd = -1;
    g_autofree char *path = create_file(data, size, &fd);
    char *paths[] = {path, NULL};
    GPtrArray *problems = Problems_create();
    GPtrArray *objects = Declarations_load(paths, problems);
    for (guint i = 0; i < objects->len; i++) {
        const Object_t *object = g_ptr_array_index(objects, i);
        g_assert(KeyTable_isValidName(object->name->str));
    }
    g_assert(problems->len > 0 || size == 0 || !memchr(data, '\0', size));
    format_problems(problems);
    check_line_numbers(path);
    g_ptr_array_unref(objects);
    g_ptr_array_unref(problems);
    close(fd);
    return 0;
}

/* Checks that the ends of the prefix levels increase and lie within the
 * prompt. */
static void
check_prompt(gboolean chat, const uint8_t *data, size_t size)
{
    gboolean bad_json = FALSE;
    g_autoptr(GError) error = NULL;
    Prompt_t *prompt =
        Prompt_create(chat, (const char *)data, size, &bad_json, &error);
    g_assert((prompt == NULL) == (error != NULL));
    if (!prompt) {
        return;
    }
    gsize done = 0;
    g_assert_cmpuint(prompt->level_count, <=, PROMPT_LEVELS_MAX);
    for (guint i = 0; i < prompt->level_count; i++) {
        g_assert_cmpuint(prompt->levels[i].end, >, done);
        done = prompt->levels[i].end;
    }
    g_assert_cmpuint(done, <=, prompt->length);
    g_assert_cmpuint(prompt->max_tokens, >=, 1);
    g_assert_cmpuint(Prompt_tokens(prompt), >=, 1);
    Prompt_destroy(prompt);
}

int
Fuzz_prompt(const uint8_t *data, size_t size)
{
    check_prompt(TRUE, data, size);
    check_prompt(FALSE, data, size);
    return 0;
}

/* A sealed token opens with the same content; a token with a changed first
 * character is rejected. */
static void
check_seal(const char *text, GBytes *key)
{
    g_autofree char *field = g_utf8_make_valid(text, -1);
    *g_utf8_find_prev_char(field, field + MIN(strlen(field), FIELD_MAX) + 1) =
        '\0';
    ResumePoint_t *point = ResumePoint_create();
    g_string_assign(point->customer, field);
    g_string_assign(point->stream, field);
    point->incarnation = strlen(text);
    GString *token = ResumeToken_seal(point, key);
    g_string_append_printf(token, ".%" G_GSIZE_FORMAT, strlen(field));
    ResumePoint_t *again = ResumeToken_open(token->str, key, NULL);
    g_assert_nonnull(again);
    g_assert(g_string_equal(again->customer, point->customer));
    g_assert(g_string_equal(again->stream, point->stream));
    g_assert_cmpuint(again->offset, ==, strlen(field));
    token->str[0] = token->str[0] == 'A' ? 'B' : 'A';
    g_assert_null(ResumeToken_open(token->str, key, NULL));
    ResumePoint_destroy(again);
    ResumePoint_destroy(point);
    g_string_free(token, TRUE);
}

int
Fuzz_resumeToken(const uint8_t *data, size_t size)
{
    GBytes *key = g_bytes_new_static("0123456789abcdef0123456789abcdef", 32);
    g_autofree char *text = g_strndup((const char *)data, size);
    g_autoptr(GError) error = NULL;
    ResumePoint_t *point = ResumeToken_open(text, key, &error);
    g_assert((point == NULL) == (error != NULL));
    if (point) {
        ResumePoint_destroy(point);
    }
    check_seal(text, key);
    g_bytes_unref(key);
    return 0;
}

/* Checks that valid UTF-8 text written as a JSON string is read back
 * unchanged. */
static void
check_string(const char *text, gsize length)
{
    GString *out = g_string_new("{\"t\":");
    Json_appendString(out, text, (gssize)length);
    g_string_append_c(out, '}');
    json_t *body = Json_parse(out->str, out->len, NULL);
    g_assert_nonnull(body);
    const char *read = Json_getString(body, "t");
    g_assert_nonnull(read);
    if (g_utf8_validate_len(text, length, NULL)) {
        g_assert_cmpuint(strlen(read), ==, length);
        g_assert(memcmp(read, text, length) == 0);
    }
    json_decref(body);
    g_string_free(out, TRUE);
}

int
Fuzz_json(const uint8_t *data, size_t size)
{
    g_autoptr(GError) error = NULL;
    json_t *body = Json_parse((const char *)data, size, &error);
    g_assert((body == NULL) == (error != NULL));
    if (body) {
        Json_getString(body, "t");
        Json_getInteger(body, "n", 0);
        char *text = json_dumps(body, JSON_COMPACT);
        json_t *again = Json_parse(text, strlen(text), NULL);
        g_assert(json_equal(body, again));
        json_decref(again);
        free(text);
        json_decref(body);
    }
    json_t *repaired = Json_parseRepaired((const char *)data, size, NULL);
    g_assert(error || repaired);
    json_decref(repaired);
    check_string((const char *)data, size);
    return 0;
}

/* Logs an event with two text values and returns the log line, captured from
 * the standard output. */
static char *
write_log_line(const char *first, const char *second)
{
    static int fd = -1;
    if (fd < 0) {
        fd = memfd_create("line", MFD_CLOEXEC);
        g_assert_cmpint(dup2(fd, STDOUT_FILENO), >=, 0);
    }
    g_assert_cmpint(ftruncate(fd, 0), ==, 0);
    g_assert_cmpint(lseek(fd, 0, SEEK_SET), ==, 0);
    Log_setLevel(LOG_LEVEL_INFO);
    Log_begin(LOG_LEVEL_INFO, "x");
    Log_text("first", first);
    Log_text("second", second);
    Log_number("number", 7);
    Log_end();
    Log_setLevel((LogLevel_t)0);
    off_t size = lseek(fd, 0, SEEK_CUR);
    char *line = g_malloc0((gsize)size + 1);
    g_assert_cmpint(pread(fd, line, (gsize)size, 0), ==, size);
    return g_strchomp(line);
}

/* Checks that the values of a log line are read back unchanged, whatever
 * characters they contain. */
static void
check_log_line(const char *first, const char *second)
{
    g_autofree char *line = write_log_line(first, second);
    g_autofree char *first_read = LogLine_value(line, " first=");
    g_autofree char *second_read = LogLine_value(line, " second=");
    gint64 stamp_us = 0;
    g_assert(!strchr(line, '\n'));
    g_assert(LogLine_readStamp(line, &stamp_us));
    g_assert_cmpstr(first_read, ==, first);
    g_assert_cmpstr(second_read, ==, second);
    g_assert_cmpint(LogLine_number(line, " number=", 0), ==, 7);
    g_assert_cmpint(LogLine_number(line, " none=", -1), ==, -1);
    g_assert(LogLine_hasPair(line, " event=x"));
    g_assert(!LogLine_hasPair(line, " event=y"));
}

int
Fuzz_logLine(const uint8_t *data, size_t size)
{
    g_autofree char *text = g_strndup((const char *)data, size);
    gint64 stamp_us = 0;
    LogLine_readStamp(text, &stamp_us);
    LogLine_hasPair(text, " a=b");
    LogLine_number(text, " n=", 0);
    g_auto(GStrv) halves = g_strsplit(text, "\n", 2);
    check_log_line(halves[0] ? halves[0] : "",
                   halves[0] && halves[1] ? halves[1] : "");
    return 0;
}
