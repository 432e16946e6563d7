#ifndef CORNELWEIR_QUOTA_H_
#define CORNELWEIR_QUOTA_H_

// Quotas of workspaces over all daemons: the owner that issues tokens and the stores that hold
// them.

#include "cornelweir/src/quota/host_reserve.h"
#include "cornelweir/src/quota/limits.h"
#include "cornelweir/src/quota/messages.h"
#include "cornelweir/src/quota/quota_limits.h"
#include "cornelweir/src/quota/quota_merger.h"
#include "cornelweir/src/quota/quota_owner.h"
#include "cornelweir/src/quota/quota_store.h"
#include "cornelweir/src/quota/reserve_ledger.h"
#include "cornelweir/src/quota/workspace_limit.h"

#endif  // CORNELWEIR_QUOTA_H_
