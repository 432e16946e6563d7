#ifndef CORNELWEIR_SHUTDOWN_H_
#define CORNELWEIR_SHUTDOWN_H_

// The graceful stop of a process: its times.

#include "cornelweir/src/shutdown/limits.h"
#include "cornelweir/src/shutdown/stop_time.h"

#endif  // CORNELWEIR_SHUTDOWN_H_
