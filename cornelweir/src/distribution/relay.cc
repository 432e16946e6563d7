#include "cornelweir/src/distribution/relay.h"

#include <iterator>
#include <variant>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {

relay::relay(subscriber own, kernel::nonce first_nonce)
    : subscriber_(std::move(own)),
      publisher_(first_nonce, relay_placement(subscriber_.service(), subscriber_.host(),
                                              subscriber_.control_endpoint())) {}

subscribe relay::Subscribe(kernel::time_point now, failure_count failed_relays) {
  fed_ = false;
  reported_.reset();
  publisher_.AskAgain();
  return subscriber_.Subscribe(now, failed_relays);
}

relay_result relay::OnDownstream(const downstream_message& message, kernel::time_point now) {
  relay_result result;
  result.own = subscriber_.OnMessage(message, now);
  Finish(now, result);
  return result;
}

relay_result relay::OnDisconnect(subscriber_id child, kernel::time_point now) {
  relay_result result;
  Collect(publisher_.OnDisconnect(child, now), result);
  return result;
}

relay_result relay::Tick(kernel::time_point now) {
  relay_result result;
  result.own = subscriber_.Tick(now);
  Collect(publisher_.Tick(now), result);
  Finish(now, result);
  if (publisher_.size() > 0) Report(now, result);
  return result;
}

void relay::Collect(subscriber_actions actions, relay_result& result) {
  result.down.insert(result.down.end(), std::make_move_iterator(actions.messages.begin()),
                     std::make_move_iterator(actions.messages.end()));
  result.released.insert(result.released.end(), actions.released.begin(), actions.released.end());
  for (const proof_request& request : actions.proof_requests) {
    result.up.emplace_back(proof_query{request.nonce});
  }
}

void relay::Finish(kernel::time_point now, relay_result& result) {
  const subscriber_result& own = result.own;
  if (own.version_changed || own.revision_changed) {
    Collect(publisher_.PublishHeld(subscriber_, own, now), result);
  }
  if (own.round) {
    fed_ = true;
    Collect(publisher_.Heartbeat(*own.round, now), result);
  }
  if (own.answer) Collect(publisher_.OnProof(*own.answer, now), result);
  for (upstream_message& message : result.own.send) {
    // With children, the report is sent by Tick() together with theirs.
    if (std::holds_alternative<applied>(message) && publisher_.size() > 0) continue;
    result.up.push_back(std::move(message));
  }
  result.own.send.clear();
}

void relay::Report(kernel::time_point now, relay_result& result) {
  const service_progress progress = publisher_.Progress(subscriber_.service());
  applied report{subscriber_.version(), subscriber_.revision(), progress.counts, progress.behind};
  // The revision alone is not worth a message.
  if (reported_ && now - reported_at_ < kReportInterval && reported_->version == report.version &&
      reported_->below == report.below && reported_->behind == report.behind) {
    return;
  }
  reported_ = report;
  reported_at_ = now;
  result.up.emplace_back(std::move(report));
}

}  // namespace cornelweir::distribution
