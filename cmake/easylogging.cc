#include "carobshift/telemetry/log_output.h"
// After the declaration of the stream that it writes to.
#include <easylogging++.cc>
