#include "carobshift/telemetry/log_output.h"
// Must follow the declaration of the stream that the library writes to.
#include <easylogging++.cc>
