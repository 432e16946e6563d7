#ifndef CORNELWEIR_SHUTDOWN_H_
#define CORNELWEIR_SHUTDOWN_H_

// The graceful stop of a process: its times, its phases, and what each connection still takes.

#include "cornelweir/src/shutdown/connection_intake.h"
#include "cornelweir/src/shutdown/limits.h"
#include "cornelweir/src/shutdown/stop_sequence.h"
#include "cornelweir/src/shutdown/stop_time.h"

#endif  // CORNELWEIR_SHUTDOWN_H_
