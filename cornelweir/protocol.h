#ifndef CORNELWEIR_PROTOCOL_H_
#define CORNELWEIR_PROTOCOL_H_

// The messages exchanged between control hosts and daemons.

#include "cornelweir/src/protocol/currency_facts.h"
#include "cornelweir/src/protocol/currency_report.h"
#include "cornelweir/src/protocol/currency_state.h"
#include "cornelweir/src/protocol/data_messages.h"
#include "cornelweir/src/protocol/fleet_messages.h"
#include "cornelweir/src/protocol/limits.h"
#include "cornelweir/src/protocol/message_part.h"
#include "cornelweir/src/protocol/messages.h"
#include "cornelweir/src/protocol/part_assembler.h"
#include "cornelweir/src/protocol/quota_messages.h"
#include "cornelweir/src/protocol/split_into_parts.h"

#endif  // CORNELWEIR_PROTOCOL_H_
