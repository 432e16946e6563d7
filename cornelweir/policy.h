#ifndef CORNELWEIR_POLICY_H_
#define CORNELWEIR_POLICY_H_

// The policy that daemons enforce: services, routes by host and path prefix, workspaces with their
// keys and quotas, and limits on callers; with checks, deltas between versions, and the lookup
// of a request's route and workspace.

#include "cornelweir/src/policy/caller_limits.h"      // IWYU pragma: export
#include "cornelweir/src/policy/deployment_report.h"  // IWYU pragma: export
#include "cornelweir/src/policy/finding.h"            // IWYU pragma: export
#include "cornelweir/src/policy/limits.h"             // IWYU pragma: export
#include "cornelweir/src/policy/list_delta.h"         // IWYU pragma: export
#include "cornelweir/src/policy/policy_change.h"      // IWYU pragma: export
#include "cornelweir/src/policy/policy_delta.h"       // IWYU pragma: export
#include "cornelweir/src/policy/policy_report.h"      // IWYU pragma: export
#include "cornelweir/src/policy/policy_table.h"       // IWYU pragma: export
#include "cornelweir/src/policy/policy_text.h"        // IWYU pragma: export
#include "cornelweir/src/policy/replace_keys.h"       // IWYU pragma: export
#include "cornelweir/src/policy/request_resolver.h"   // IWYU pragma: export
#include "cornelweir/src/policy/route.h"              // IWYU pragma: export
#include "cornelweir/src/policy/route_index.h"        // IWYU pragma: export
#include "cornelweir/src/policy/service.h"            // IWYU pragma: export
#include "cornelweir/src/policy/service_state.h"      // IWYU pragma: export
#include "cornelweir/src/policy/validate.h"           // IWYU pragma: export
#include "cornelweir/src/policy/workspace.h"          // IWYU pragma: export
#include "cornelweir/src/policy/workspace_index.h"    // IWYU pragma: export

#endif  // CORNELWEIR_POLICY_H_
