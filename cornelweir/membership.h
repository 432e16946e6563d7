#ifndef CORNELWEIR_MEMBERSHIP_H_
#define CORNELWEIR_MEMBERSHIP_H_

// The announced upstreams: the replicated table of them, its history, and the leader's leases.

#include "cornelweir/src/membership/announce_result.h"
#include "cornelweir/src/membership/lease_tracker.h"
#include "cornelweir/src/membership/limits.h"
#include "cornelweir/src/membership/member_change.h"
#include "cornelweir/src/membership/member_history.h"
#include "cornelweir/src/membership/member_snapshot.h"
#include "cornelweir/src/membership/member_table.h"
#include "cornelweir/src/membership/roster.h"
#include "cornelweir/src/membership/roster_entry.h"
#include "cornelweir/src/membership/upstream_announcement.h"
#include "cornelweir/src/membership/upstream_record.h"

#endif  // CORNELWEIR_MEMBERSHIP_H_
