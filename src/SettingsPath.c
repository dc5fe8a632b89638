#include "SettingsPath.h"

#include "Log.h"

static gboolean
is_given(const char *path)
{
    return path && *path;
}

static const char *
log_choice(const char *path, const char *named_by)
{
    Log_begin(LOG_LEVEL_INFO, "settings_named");
    Log_text("path", path);
    Log_text("by", named_by);
    Log_end();
    return path;
}

const char *
SettingsPath_choose(const SettingsPath_t *this)
{
    if (is_given(this->option)) {
        return log_choice(this->option, "--settings");
    }
    for (const char *const *name = this->variables; *name; name++) {
        const char *path = g_getenv(*name);
        if (is_given(path)) {
            return log_choice(path, *name);
        }
    }
    if (is_given(this->fallback)) {
        return log_choice(this->fallback, "--default-settings");
    }
    return NULL;
}
