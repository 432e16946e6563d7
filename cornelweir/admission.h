#ifndef CORNELWEIR_ADMISSION_H_
#define CORNELWEIR_ADMISSION_H_

// Admission control: which requests may run on an upstream, a daemon's share of its service's
// limit, and the window for large bodies.

#include "cornelweir/src/admission/admission_controller.h"
#include "cornelweir/src/admission/admission_limits.h"
#include "cornelweir/src/admission/admission_result.h"
#include "cornelweir/src/admission/arrival_rate.h"
#include "cornelweir/src/admission/credit_window.h"
#include "cornelweir/src/admission/inbound_transfers.h"
#include "cornelweir/src/admission/limit_share.h"
#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/nested_route_detector.h"
#include "cornelweir/src/admission/outbound_responses.h"
#include "cornelweir/src/admission/priority_class.h"
#include "cornelweir/src/admission/rate_limiter.h"
#include "cornelweir/src/admission/refused_ticket.h"
#include "cornelweir/src/admission/request_rank.h"
#include "cornelweir/src/admission/route_calls.h"
#include "cornelweir/src/admission/run_time_estimate.h"
#include "cornelweir/src/admission/served_ratios.h"
#include "cornelweir/src/admission/share_member.h"
#include "cornelweir/src/admission/share_table.h"
#include "cornelweir/src/admission/slot_queue.h"
#include "cornelweir/src/admission/slot_refusal.h"
#include "cornelweir/src/admission/slot_request.h"
#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/admission/transfer_id.h"
#include "cornelweir/src/admission/transfer_limits.h"
#include "cornelweir/src/admission/transfer_plan.h"
#include "cornelweir/src/admission/transfer_window.h"
#include "cornelweir/src/admission/upstream_speed.h"
#include "cornelweir/src/admission/work_shares.h"

#endif  // CORNELWEIR_ADMISSION_H_
