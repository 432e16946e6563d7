#ifndef CORNELWEIR_LOOP_H_
#define CORNELWEIR_LOOP_H_

// The event loop of a process, with timers and signal handling.

#include "cornelweir/src/loop/event_loop.h"
#include "cornelweir/src/loop/limits.h"
#include "cornelweir/src/loop/pause_tracker.h"
#include "cornelweir/src/loop/tcp_keepalive_options.h"
#include "cornelweir/src/loop/timer.h"

#endif  // CORNELWEIR_LOOP_H_
