/**
 * DOC: InstancesStandin
 *
 * The platform's list of instances. A posted entry appears in the
 * list after lag_ms.
 */
#include <stdlib.h>
#include <string.h>

#include "Options.h"
#include "Server.h"
#include "standins.h"

static Server_t server;
static json_t *instances; /* name -> entry */
static gint64 lag_ms, down, port;

static const Parameter_t parameters[] = {
    {"port", &port}, {"lag_ms", &lag_ms}, {"down", &down}};

static const TextOption_t texts[] = {{"host", &Server_host}};

static void
publish_entry(void *data)
{
    json_t *entry = data;
    const char *name = json_string_value(json_object_get(entry, "name"));
    json_object_set_new(instances, name ? name : "", entry);
}

static void
handle_list(struct evhttp_request *request)
{
    json_t *list = json_array();
    const char *name = NULL;
    json_t *entry = NULL;
    json_object_foreach(instances, name, entry)
    {
        json_array_append(list, entry);
    }
    Server_reply(request, HTTP_OK, json_pack("{s:o}", "instances", list));
}

static void
handle(struct evhttp_request *request, void *data)
{
    (void)data;
    if (strcmp(Server_path(request), "/control") == 0) {
        json_decref(
            Server_control(request, parameters, G_N_ELEMENTS(parameters)));
    }
    else if (down) {
        Server_refuse(request, HTTP_SERVUNAVAIL, "outage", "not_run", 0);
    }
    else if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
        json_t *entry = Server_body(request);
        Server_callAfter(&server, lag_ms, publish_entry,
                         entry ? entry : json_object());
        Server_reply(request, HTTP_OK, json_object());
    }
    else {
        handle_list(request);
    }
}

int
InstancesStandin_run(int argc, char **argv)
{
    Options_parse(argc, argv, parameters, G_N_ELEMENTS(parameters), texts,
                  G_N_ELEMENTS(texts));
    instances = json_object();
    Server_listen(&server, (guint16)port, handle, NULL);
    Server_run(&server);
    json_decref(instances);
    return 0;
}
