#include "SettingsReload.h"

#include "Log.h"
#include "Problem.h"

static void
log_restart_setting(const char *section, const char *key, void *data)
{
    guint *count = data;
    (*count)++;
    Log_begin(LOG_LEVEL_WARNING, "setting_waits");
    Log_text("section", section);
    Log_text("key", key);
    Log_text("until", "restart");
    Log_end();
}

/* Leaves out the values, as they may be secrets such as those of [keys]. */
static void
log_problems(const GPtrArray *problems)
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
    guint restart_keys = 0;
    gboolean applied = Settings_reload(settings, problems, log_restart_setting,
                                       &restart_keys);
    log_problems(problems);
    Log_begin(applied ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
              "settings_reloaded");
    Log_text("outcome", applied ? "taken" : "refused");
    Log_number("problems", problems->len);
    Log_number("waiting", restart_keys);
    Log_end();
    return applied;
}
