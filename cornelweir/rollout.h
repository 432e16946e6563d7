#ifndef CORNELWEIR_ROLLOUT_H_
#define CORNELWEIR_ROLLOUT_H_

// Rollouts of a software version: records, selection of a version, evidence, verdict and steps.

#include "cornelweir/src/rollout/active_subset.h"
#include "cornelweir/src/rollout/evidence_counters.h"
#include "cornelweir/src/rollout/evidence_series.h"
#include "cornelweir/src/rollout/judge.h"
#include "cornelweir/src/rollout/limits.h"
#include "cornelweir/src/rollout/log_histogram.h"
#include "cornelweir/src/rollout/planner.h"
#include "cornelweir/src/rollout/rollout_record.h"
#include "cornelweir/src/rollout/rollout_sample.h"
#include "cornelweir/src/rollout/rollout_table.h"
#include "cornelweir/src/rollout/rollout_tracker.h"
#include "cornelweir/src/rollout/route_evidence.h"
#include "cornelweir/src/rollout/upstream_guard.h"

#endif  // CORNELWEIR_ROLLOUT_H_
