#include "cornelweir/src/claims/claim_table.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cornelweir/src/claims/limits.h"

namespace cornelweir::claims {
namespace internal {

std::int64_t BytesOf(const std::optional<stored_response>& response) {
  if (!response) return 0;
  return static_cast<std::int64_t>(response->content_type.size() + response->body.bytes.size());
}

bool HasReleased(const claim& entry, const kernel::attempt_id& attempt) {
  return std::find(entry.released.begin(), entry.released.end(), attempt) != entry.released.end();
}

}  // namespace internal

void claim_table::Advance(kernel::time_point now) {
  state_.latest = std::max(state_.latest, kernel::ToLogTime(now));
}

void claim_table::SetExpiry(claim_map::iterator entry, kernel::microseconds retention) {
  by_expiry_.erase({entry->second.expires, entry->first});
  entry->second.expires = kernel::log_time(state_.latest.value() + retention.count());
  by_expiry_.emplace(entry->second.expires, entry->first);
}

void claim_table::Erase(claim_map::iterator entry) {
  by_expiry_.erase({entry->second.expires, entry->first});
  stored_bytes_ =
      kernel::byte_count(stored_bytes_.value() - internal::BytesOf(entry->second.response));
  state_.claims.erase(entry);
}

claim_result claim_table::Claim(const kernel::idempotency_key& key,
                                const kernel::attempt_id& attempt, kernel::fingerprint content,
                                kernel::time_point now) {
  Advance(now);
  auto found = state_.claims.find(key);
  if (found != state_.claims.end() && found->second.expires <= state_.latest) {
    Erase(found);
    found = state_.claims.end();
  }
  if (found == state_.claims.end()) {
    if (state_.claims.size() >= max_claims_) return {claim_status::kFull, std::nullopt};
    found = state_.claims.emplace(key, claim{}).first;
  } else {
    claim& entry = found->second;
    if (entry.state == claim_state::kReleased) {
      if (internal::HasReleased(entry, attempt)) return {claim_status::kHeld, std::nullopt};
    } else {
      if (entry.content != content) return {claim_status::kMismatch, std::nullopt};
      if (entry.state == claim_state::kCompleted) return {claim_status::kCompleted, entry.response};
      return {entry.holder == attempt ? claim_status::kGranted : claim_status::kHeld, std::nullopt};
    }
  }
  found->second.state = claim_state::kHeld;
  found->second.holder = attempt;
  found->second.content = content;
  SetExpiry(found, kClaimRetention);
  return {claim_status::kGranted, std::nullopt};
}

bool claim_table::Complete(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                           stored_response response) {
  const auto found = state_.claims.find(key);
  if (found == state_.claims.end() || found->second.holder != attempt) return false;
  claim& entry = found->second;
  if (entry.state == claim_state::kReleased) return false;
  if (entry.state == claim_state::kCompleted) return true;
  if (response.content_type.size() > kMaxContentTypeBytes) response.content_type.clear();
  const auto bytes =
      static_cast<std::int64_t>(response.content_type.size() + response.body.bytes.size());
  if (response.body.bytes.size() > kMaxBodyBytes ||
      stored_bytes_.value() + bytes > max_stored_bytes_.value()) {
    response.content_type.clear();
    response.body.bytes.clear();
    response.body_omitted = true;
  }
  entry.state = claim_state::kCompleted;
  entry.response = std::move(response);
  stored_bytes_ = kernel::byte_count(stored_bytes_.value() + internal::BytesOf(entry.response));
  return true;
}

bool claim_table::Release(const kernel::idempotency_key& key, const kernel::attempt_id& attempt) {
  auto found = state_.claims.find(key);
  bool held = false;
  if (found == state_.claims.end()) {
    if (state_.claims.size() >= max_claims_) return false;
    found = state_.claims.emplace(key, claim{}).first;
    found->second.state = claim_state::kReleased;
    SetExpiry(found, kReleaseRetention);
  } else if (found->second.state == claim_state::kHeld && found->second.holder == attempt) {
    held = true;
    found->second.state = claim_state::kReleased;
    found->second.holder = {};
    SetExpiry(found, kReleaseRetention);
  }
  claim& entry = found->second;
  if (entry.holder != attempt && !internal::HasReleased(entry, attempt)) {
    entry.released.push_back(attempt);
    if (entry.released.size() > kMaxReleasedAttempts) entry.released.erase(entry.released.begin());
  }
  return held;
}

void claim_table::Expire(kernel::time_point now) {
  Advance(now);
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= state_.latest) {
    Erase(state_.claims.find(by_expiry_.begin()->second));
  }
}

void claim_table::Restore(claim_table_state state) {
  state_ = std::move(state);
  by_expiry_.clear();
  std::int64_t bytes = 0;
  for (const auto& [key, entry] : state_.claims) {
    by_expiry_.emplace(entry.expires, key);
    bytes += internal::BytesOf(entry.response);
  }
  stored_bytes_ = kernel::byte_count(bytes);
}

}  // namespace cornelweir::claims
