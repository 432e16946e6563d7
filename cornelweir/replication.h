#ifndef CORNELWEIR_REPLICATION_H_
#define CORNELWEIR_REPLICATION_H_

// A leader-based replicated log (Raft) without input or output of its own: it takes messages and
// the time, and returns messages to send, entries to store and committed entries.

#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/founding.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/group_target.h"
#include "cornelweir/src/replication/limits.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/message.h"
#include "cornelweir/src/replication/next_configuration.h"
#include "cornelweir/src/replication/node.h"
#include "cornelweir/src/replication/node_builder.h"
#include "cornelweir/src/replication/peer_status.h"
#include "cornelweir/src/replication/promotion_rule.h"
#include "cornelweir/src/replication/ready.h"
#include "cornelweir/src/replication/role.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/replication/voter_contact.h"

#endif  // CORNELWEIR_REPLICATION_H_
