#include "SettingsReload.h"

#include "Clock.h"
#include "Log.h"
#include "Problem.h"
#include "TextFile.h"

#define LOOK_INTERVAL_MS 100

struct SettingsReload {
    Settings_t *settings;
    SettingsTaken_t taken;
    void *owner;
    struct event *timer;
    FileStamp_t stamp; /* of the file that was rejected */
    gint64 watch_ends_ms;
};

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

static gboolean
reload(Settings_t *settings)
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

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    SettingsReload_t *this = data;
    FileStamp_t now = TextFile_stamp(this->settings->path->str);
    if (now.exists && !TextFile_isSame(&now, &this->stamp)) {
        SettingsReload_run(this);
    }
    else if (Clock_nowMs() < this->watch_ends_ms) {
        Clock_arm(this->timer, LOOK_INTERVAL_MS);
    }
}

SettingsReload_t *
SettingsReload_create(struct event_base *base, Settings_t *settings,
                      SettingsTaken_t taken, void *owner)
{
    SettingsReload_t *this = g_new0(SettingsReload_t, 1);
    this->settings = settings;
    this->taken = taken;
    this->owner = owner;
    this->timer = Clock_timer(base, on_timer, this);
    return this;
}

void
SettingsReload_run(SettingsReload_t *this)
{
    this->stamp = TextFile_stamp(this->settings->path->str);
    if (reload(this->settings)) {
        event_del(this->timer);
        this->taken(this->owner);
        return;
    }
    this->watch_ends_ms = Clock_nowMs() + RELOAD_WATCH_MS;
    Clock_arm(this->timer, LOOK_INTERVAL_MS);
}

void
SettingsReload_destroy(SettingsReload_t *this)
{
    event_free(this->timer);
    g_free(this);
}
