#ifndef CORNELWEIR_POLICY_H_
#define CORNELWEIR_POLICY_H_

// The policy that daemons enforce: services, routes by host and path prefix, and limits on callers;
// with validation, deltas between versions, and route lookup.

#include "cornelweir/src/policy/caller_limits.h"  // IWYU pragma: export
#include "cornelweir/src/policy/limits.h"         // IWYU pragma: export
#include "cornelweir/src/policy/policy_table.h"   // IWYU pragma: export
#include "cornelweir/src/policy/route.h"          // IWYU pragma: export
#include "cornelweir/src/policy/route_index.h"    // IWYU pragma: export
#include "cornelweir/src/policy/service.h"        // IWYU pragma: export
#include "cornelweir/src/policy/validate.h"       // IWYU pragma: export

#endif  // CORNELWEIR_POLICY_H_
