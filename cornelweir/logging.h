#ifndef CORNELWEIR_LOGGING_H_
#define CORNELWEIR_LOGGING_H_

// Numbered log events.

#include "cornelweir/src/logging/event.h"
#include "cornelweir/src/logging/event_id.h"
#include "cornelweir/src/logging/line_buffer.h"
#include "cornelweir/src/logging/outage_schedule.h"
#include "cornelweir/src/logging/output.h"

#endif  // CORNELWEIR_LOGGING_H_
