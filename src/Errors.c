#include "Errors.h"

GQuark
Errors_quark(void)
{
    return g_quark_from_static_string("wheattiller-error");
}
