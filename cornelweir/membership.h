#ifndef CORNELWEIR_MEMBERSHIP_H_
#define CORNELWEIR_MEMBERSHIP_H_

// Membership: the replicated table of announced upstreams with its history, the leader's leases,
// and the roster of daemons.

#include "cornelweir/src/membership/announce_result.h"
#include "cornelweir/src/membership/announced_upstream.h"
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
