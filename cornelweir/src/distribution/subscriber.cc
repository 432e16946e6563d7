#include "cornelweir/src/distribution/subscriber.h"

#include <algorithm>
#include <variant>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/scope_history.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::distribution {
namespace internal {

// Whether a daemon of the service may enforce these rows. The rows of called services refer to
// services outside the scope, so faults in their `calls` cells are ignored.
bool IsEnforceable(const table::row_map& rows, const kernel::service_name& service) {
  const table::row_key own = table::KeyOf(service);
  if (!rows.empty() && table::FindRow<table::service_row>(rows, own) == nullptr) return false;
  if (!table::IsClosed(rows)) return false;
  const auto faults = table::Validate(rows);
  return std::all_of(faults.begin(), faults.end(), [&](const table::table_fault& fault) {
    return fault.cell == "calls" && fault.key != own;
  });
}

}  // namespace internal

subscribe subscriber::Subscribe(kernel::time_point now, failure_count failed_relays) {
  row_assembler_.Clear();
  member_assembler_.Clear();
  early_members_.reset();
  newest_version_ = {};
  newest_revision_ = {};
  last_round_time_ = now;
  last_progress_time_ = now;
  last_resync_time_ = now;
  last_query_time_ = now;
  last_report_time_ = now;
  subscribe request = MakeRequest();
  request.failed_relays = failed_relays;
  return request;
}

subscriber_result subscriber::OnMessage(const publisher_message& message, kernel::time_point now) {
  subscriber_result result;
  std::visit([&](const auto& alternative) { Handle(alternative, now, result); }, message);
  if (result.version_changed || result.revision_changed) last_progress_time_ = now;
  if (result.version_changed) SendReport(now, result);
  UpdateReady(result);
  return result;
}

subscriber_result subscriber::Tick(kernel::time_point now) {
  subscriber_result result;
  if (!proof_ && last_query_time_ && now - *last_query_time_ >= kResyncInterval) {
    last_query_time_ = now;
    result.messages.emplace_back(proof_query{nonce_});
  }
  if (last_report_time_ && now - *last_report_time_ >= kReportInterval) SendReport(now, result);
  const bool behind = (newest_version_ > version_ && newest_version_ > refused_version_) ||
                      newest_revision_ > revision_ || !members_complete();
  if (behind && now - last_progress_time_ >= kResyncInterval) RequestResync(now, result);
  return result;
}

bool subscriber::HasHeartbeatTimedOut(kernel::time_point now) const {
  return now - last_round_time_ >= kHeartbeatTimeout;
}

kernel::byte_count subscriber::staged_bytes() const {
  return kernel::byte_count(row_assembler_.size().value() + member_assembler_.size().value());
}

subscribe subscriber::MakeRequest() {
  subscribe request;
  request.service = service_;
  request.subscriber = host_;
  request.held_version = version_;
  // If members of a service are missing, only the full list completes them.
  if (members_complete()) request.held_revision = revision_;
  if (!proof_) request.nonce = nonce_;
  request.control_endpoint = control_endpoint_;
  request.relay_capable = !control_endpoint_.value().empty();
  return request;
}

void subscriber::Handle(const redirect& message, kernel::time_point /*now*/,
                        subscriber_result& result) {
  result.redirection = message;
}

void subscriber::Handle(const configuration& message, kernel::time_point now,
                        subscriber_result& result) {
  if (message.service != service_ || message.version <= version_ ||
      message.version <= refused_version_) {
    return;
  }
  last_progress_time_ = now;
  const auto whole = row_assembler_.Add(message);
  if (!whole) return;
  table::row_map rows;
  if (whole->base != kernel::table_version()) {
    if (whole->base != version_) {
      RequestResync(now, result);
      return;
    }
    rows = rows_;
  }
  table::ApplyDelta(whole->rows, rows);
  if (!internal::IsEnforceable(rows, service_)) {
    refused_version_ = whole->version;
    result.refused_version = whole->version;
    return;
  }
  ApplyRows(whole->version, std::move(rows), result);
}

void subscriber::Handle(const version_notice& message, kernel::time_point now,
                        subscriber_result& result) {
  if (message.version <= version_) return;
  if (message.base != version_) {
    RequestResync(now, result);
    return;
  }
  version_ = message.version;
  result.version_changed = true;
  ApplyEarlyMembers(result);
}

void subscriber::Handle(const distribution::members& message, kernel::time_point now,
                        subscriber_result& result) {
  const bool newer = message.revision > revision_ ||
                     (message.full && message.revision == revision_ && !members_complete());
  if (!newer) return;
  for (const membership::member_change& change : message.changes) {
    if (change.record && (!membership::IsValid(*change.record) || change.record->id != change.id)) {
      return;
    }
  }
  last_progress_time_ = now;
  const auto whole = member_assembler_.Add(message);
  if (!whole) return;
  // Members selected by another scope than the current one may lack services of the current scope.
  const kernel::table_version current_version = std::max(version_, refused_version_);
  if (whole->full) {
    if (whole->scope_version > current_version) early_members_ = whole;
    if (whole->scope_version == current_version) ReplaceMembers(*whole, result);
    return;
  }
  if (whole->base != revision_ || !members_complete() || whole->scope_version != current_version) {
    RequestResync(now, result);
    return;
  }
  for (const membership::member_change& change : whole->changes) {
    if (change.record) {
      members_.insert_or_assign(change.id, *change.record);
    } else {
      members_.erase(change.id);
    }
  }
  revision_ = whole->revision;
  result.revision_changed = true;
  result.members_changed = !whole->changes.empty();
  result.member_changes = whole->changes;
}

void subscriber::Handle(const heartbeat& message, kernel::time_point now,
                        subscriber_result& result) {
  if (message.round > latest_round_) {
    latest_round_ = message.round;
    last_round_time_ = now;
    result.new_round = latest_round_;
  }
  newest_version_ = std::max(newest_version_, message.newest_version);
  newest_revision_ = std::max(newest_revision_, message.newest_revision);
}

void subscriber::Handle(const proof& message, kernel::time_point /*now*/,
                        subscriber_result& result) {
  result.received_proof = message;
  if (message.nonce == nonce_ && !proof_) proof_ = message;
}

void subscriber::ApplyRows(kernel::table_version version, table::row_map rows,
                           subscriber_result& result) {
  rows_ = std::move(rows);
  version_ = version;
  std::set<kernel::service_name> services = ServicesIn(rows_, service_);
  if (!std::includes(services_.begin(), services_.end(), services.begin(), services.end())) {
    required_scope_version_ = version;
  }
  services_ = std::move(services);
  result.version_changed = true;
  result.rows_changed = true;
  ApplyEarlyMembers(result);
}

void subscriber::ApplyEarlyMembers(subscriber_result& result) {
  if (!early_members_ || early_members_->scope_version > version_) return;
  const distribution::members all = *std::exchange(early_members_, std::nullopt);
  if (all.scope_version == version_) ReplaceMembers(all, result);
}

void subscriber::ReplaceMembers(const distribution::members& message, subscriber_result& result) {
  if (message.revision < revision_) return;
  members_.clear();
  for (const membership::member_change& change : message.changes) {
    if (change.record) members_.insert_or_assign(change.id, *change.record);
  }
  revision_ = message.revision;
  members_scope_version_ = message.scope_version;
  result.revision_changed = true;
  result.members_changed = true;
  result.all_members_changed = true;
}

void subscriber::SendReport(kernel::time_point now, subscriber_result& result) {
  last_report_time_ = now;
  result.messages.emplace_back(applied{version_, revision_, {}, {}});
}

void subscriber::RequestResync(kernel::time_point now, subscriber_result& result) {
  if (last_resync_time_ && now - *last_resync_time_ < kResyncInterval) return;
  last_resync_time_ = now;
  result.messages.emplace_back(MakeRequest());
}

void subscriber::UpdateReady(subscriber_result& result) {
  if (ready_ || !proof_ || !members_complete()) return;
  if (version_ < proof_->version || revision_ < proof_->revision) return;
  ready_ = true;
  result.became_ready = true;
}

}  // namespace cornelweir::distribution
