#include "SettingsReload.h"

#include "Log.h"
#include "Problem.h"

static void
on_waiting_setting(const char *section, const char *key, void *data)
{
    guint *count = data;
    (*count)++;
    Log_begin(LOG_LEVEL_WARNING, "setting_waits");
    Log_text("section", section);
    Log_text("key", key);
    Log_text("until", "restart");
    Log_end();
}

/* Without the value, which may be that of a key. */
static void
log_faults(const GPtrArray *problems)
{
    for (guint i = 0; i < problems->len; i++) {
        const Problem_t *problem = g_ptr_array_index(problems, i);
        Log_begin(LOG_LEVEL_WARNING, "setting_at_fault");
        Log_text("section", problem->section->str);
        Log_text("key", problem->key->str);
        Log_text("reason", Problem_kindName(problem->kind));
        Log_number("line", problem->line);
        Log_end();
    }
}

gboolean
SettingsReload_run(Settings_t *settings)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    guint waiting = 0;
    gboolean good =
        Settings_reload(settings, problems, on_waiting_setting, &waiting);
    log_faults(problems);
    Log_begin(good ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING, "settings_reloaded");
    Log_text("outcome", good ? "taken" : "refused");
    Log_number("problems", problems->len);
    Log_number("waiting", waiting);
    Log_end();
    return good;
}
