#include "cornelweir/src/distribution/relay.h"

#include <iterator>
#include <variant>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {

relay::relay(subscriber own_subscriber, kernel::nonce first_nonce)
    : subscriber_(std::move(own_subscriber)),
      publisher_(first_nonce, relay_placement(subscriber_.service(), subscriber_.host(),
                                              subscriber_.control_endpoint())) {}

subscribe relay::Subscribe(kernel::time_point now, failure_count failed_relays) {
  round_received_ = false;
  last_report_.reset();
  publisher_.RetryProofRequest();
  return subscriber_.Subscribe(now, failed_relays);
}

relay_result relay::OnPublisherMessage(const publisher_message& message, kernel::time_point now) {
  relay_result result;
  result.changes = subscriber_.OnMessage(message, now);
  PropagateChanges(now, result);
  return result;
}

relay_result relay::OnDisconnect(subscriber_id child, kernel::time_point now) {
  relay_result result;
  AppendActions(publisher_.OnDisconnect(child, now), result);
  return result;
}

relay_result relay::Tick(kernel::time_point now) {
  relay_result result;
  result.changes = subscriber_.Tick(now);
  AppendActions(publisher_.Tick(now), result);
  PropagateChanges(now, result);
  if (publisher_.size() > 0) SendReport(now, result);
  return result;
}

void relay::AppendActions(subscriber_actions actions, relay_result& result) {
  result.to_children.insert(result.to_children.end(),
                            std::make_move_iterator(actions.messages.begin()),
                            std::make_move_iterator(actions.messages.end()));
  result.released.insert(result.released.end(), actions.released.begin(), actions.released.end());
  for (const proof_request& request : actions.proof_requests) {
    result.to_publisher.emplace_back(proof_query{request.nonce});
  }
}

void relay::PropagateChanges(kernel::time_point now, relay_result& result) {
  const subscriber_result& own = result.changes;
  if (own.version_changed || own.revision_changed) {
    AppendActions(publisher_.PublishSubscriberState(subscriber_, own, now), result);
  }
  if (own.new_round) {
    round_received_ = true;
    AppendActions(publisher_.Heartbeat(*own.new_round, now), result);
  }
  if (own.received_proof) AppendActions(publisher_.OnProof(*own.received_proof, now), result);
  for (subscriber_message& message : result.changes.messages) {
    // A relay with children sends its report in Tick(), combined with theirs.
    if (std::holds_alternative<applied>(message) && publisher_.size() > 0) continue;
    result.to_publisher.push_back(std::move(message));
  }
  result.changes.messages.clear();
}

void relay::SendReport(kernel::time_point now, relay_result& result) {
  const service_progress progress = publisher_.Progress(subscriber_.service());
  applied report{subscriber_.version(), subscriber_.revision(), progress.counts, progress.behind};
  // A change of the revision alone does not trigger a report.
  if (last_report_ && now - last_report_time_ < kReportInterval &&
      last_report_->version == report.version && last_report_->below == report.below &&
      last_report_->behind == report.behind) {
    return;
  }
  last_report_ = report;
  last_report_time_ = now;
  result.to_publisher.emplace_back(std::move(report));
}

}  // namespace cornelweir::distribution
