#ifndef CORNELWEIR_QUARANTINE_H_
#define CORNELWEIR_QUARANTINE_H_

// Quarantine of requests that crash upstreams: recognition of crashes, the decision which requests
// caused them, at daemons and in the state machine, and what daemons refuse.

#include "cornelweir/src/quarantine/crash_detector.h"
#include "cornelweir/src/quarantine/crash_report.h"
#include "cornelweir/src/quarantine/crash_suspects.h"
#include "cornelweir/src/quarantine/crash_tracker.h"
#include "cornelweir/src/quarantine/crash_tracker_state.h"
#include "cornelweir/src/quarantine/limits.h"
#include "cornelweir/src/quarantine/quarantine_entry.h"
#include "cornelweir/src/quarantine/quarantine_guard.h"
#include "cornelweir/src/quarantine/quarantine_list.h"
#include "cornelweir/src/quarantine/quarantine_rules.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"
#include "cornelweir/src/quarantine/request_fingerprint.h"
#include "cornelweir/src/quarantine/suspect.h"
#include "cornelweir/src/quarantine/suspect_filter.h"
#include "cornelweir/src/quarantine/upstream_crash.h"

#endif  // CORNELWEIR_QUARANTINE_H_
