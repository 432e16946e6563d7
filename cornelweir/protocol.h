#ifndef CORNELWEIR_PROTOCOL_H_
#define CORNELWEIR_PROTOCOL_H_

// The messages between the system's own processes, as types.

#include "cornelweir/src/protocol/data_messages.h"
#include "cornelweir/src/protocol/fleet_messages.h"
#include "cornelweir/src/protocol/limits.h"
#include "cornelweir/src/protocol/messages.h"

#endif  // CORNELWEIR_PROTOCOL_H_
