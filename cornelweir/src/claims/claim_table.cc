#include "cornelweir/src/claims/claim_table.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "cornelweir/src/claims/limits.h"

namespace cornelweir::claims {
namespace internal {

std::int64_t StoredBytes(const stored_response& response) {
  return static_cast<std::int64_t>(response.content_type.size() + response.body.bytes.size());
}

bool HasReleased(const claim& entry, const kernel::attempt_id& attempt) {
  return std::find(entry.released.begin(), entry.released.end(), attempt) != entry.released.end();
}

}  // namespace internal

claim_result claim_table::Claim(const kernel::idempotency_key& key,
                                const kernel::attempt_id& attempt, kernel::fingerprint fingerprint,
                                kernel::time_point now) {
  Expire(now);
  if (key.value().size() > kMaxStoredKeyBytes || attempt.value().size() > kMaxAttemptIdBytes) {
    return {claim_status::kFull, std::nullopt};
  }
  auto found = Find(key);
  if (found == state_.claims.end()) {
    found = Add(key);
    if (found == state_.claims.end()) return {claim_status::kFull, std::nullopt};
  } else if (found->second.state == claim_state::kReleased) {
    if (internal::HasReleased(found->second, attempt)) return {claim_status::kHeld, std::nullopt};
  } else {
    const claim& entry = found->second;
    if (entry.fingerprint != fingerprint) return {claim_status::kMismatch, std::nullopt};
    if (entry.state == claim_state::kCompleted) return {claim_status::kCompleted, entry.response};
    return {entry.holder == attempt ? claim_status::kGranted : claim_status::kHeld, std::nullopt};
  }
  SetState(found, claim_state::kHeld, attempt, ExpiryAfter(kClaimRetention));
  found->second.fingerprint = fingerprint;
  return {claim_status::kGranted, std::nullopt};
}

bool claim_table::Complete(const kernel::idempotency_key& key, const kernel::attempt_id& attempt,
                           stored_response response) {
  const auto found = Find(key);
  if (found == state_.claims.end() || found->second.state == claim_state::kReleased ||
      found->second.holder != attempt) {
    return false;
  }
  if (found->second.state == claim_state::kCompleted) return true;
  const std::int64_t free_bytes = max_stored_bytes_.value() - stored_bytes_.value();
  if (response.content_type.size() > kMaxContentTypeBytes ||
      response.body.bytes.size() > kMaxBodyBytes || internal::StoredBytes(response) > free_bytes) {
    response = stored_response{response.status, {}, {}, true};
  }
  stored_bytes_ = kernel::byte_count(stored_bytes_.value() + internal::StoredBytes(response));
  found->second.response = std::move(response);
  SetState(found, claim_state::kCompleted, attempt, found->second.expires_at);
  return true;
}

bool claim_table::Release(const kernel::idempotency_key& key, const kernel::attempt_id& attempt) {
  if (key.value().size() > kMaxStoredKeyBytes || attempt.value().size() > kMaxAttemptIdBytes) {
    return false;
  }
  auto found = Find(key);
  const bool was_held = found != state_.claims.end() && found->second.state == claim_state::kHeld &&
                        found->second.holder == attempt;
  if (found == state_.claims.end()) {
    found = Add(key);
    if (found == state_.claims.end()) return false;
  }
  claim& entry = found->second;
  if (!was_held && entry.state != claim_state::kReleased && entry.holder == attempt) return false;
  if (was_held) SetState(found, claim_state::kReleased, {}, ExpiryAfter(kReleaseRetention));
  if (!internal::HasReleased(entry, attempt)) {
    entry.released.push_back(attempt);
    if (entry.released.size() > kMaxReleasedAttempts) entry.released.erase(entry.released.begin());
  }
  return was_held;
}

void claim_table::Expire(kernel::time_point now) {
  state_.latest_time = std::max(state_.latest_time, kernel::ToLogTime(now));
  std::size_t remaining = kMaxExpiredPerCall;
  for (expiry_index* index : {&by_expiry_, &released_by_expiry_}) {
    for (; remaining > 0 && !index->empty(); --remaining) {
      const auto first = *index->begin();
      if (first->second.expires_at > state_.latest_time) break;
      Erase(first);
    }
  }
}

void claim_table::Restore(claim_table_state state) {
  by_expiry_.clear();
  released_by_expiry_.clear();
  state_ = std::move(state);
  std::int64_t bytes = 0;
  for (auto entry = state_.claims.begin(); entry != state_.claims.end(); ++entry) {
    IndexOf(entry->second).insert(entry);
    if (entry->second.response) bytes += internal::StoredBytes(*entry->second.response);
  }
  stored_bytes_ = kernel::byte_count(bytes);
}

claim_table::claim_map::iterator claim_table::Find(const kernel::idempotency_key& key) {
  const auto found = state_.claims.find(key);
  if (found == state_.claims.end() || found->second.expires_at > state_.latest_time) return found;
  Erase(found);
  return state_.claims.end();
}

claim_table::claim_map::iterator claim_table::Add(const kernel::idempotency_key& key) {
  if (state_.claims.size() >= max_claims_) {
    const kernel::log_time latest_evictable = ExpiryAfter(kReleaseRetention - kMinReleaseRetention);
    if (released_by_expiry_.empty() ||
        (*released_by_expiry_.begin())->second.expires_at > latest_evictable) {
      return state_.claims.end();
    }
    Erase(*released_by_expiry_.begin());
  }
  claim entry;
  entry.state = claim_state::kReleased;
  entry.expires_at = ExpiryAfter(kReleaseRetention);
  const auto added = state_.claims.emplace(key, std::move(entry)).first;
  released_by_expiry_.insert(added);
  return added;
}

claim_table::expiry_index& claim_table::IndexOf(const claim& entry) {
  return entry.state == claim_state::kReleased ? released_by_expiry_ : by_expiry_;
}

void claim_table::SetState(claim_map::iterator entry, claim_state state,
                           const kernel::attempt_id& holder, kernel::log_time expires_at) {
  IndexOf(entry->second).erase(entry);
  entry->second.state = state;
  entry->second.holder = holder;
  entry->second.expires_at = expires_at;
  IndexOf(entry->second).insert(entry);
}

void claim_table::Erase(claim_map::iterator entry) {
  IndexOf(entry->second).erase(entry);
  if (entry->second.response) {
    stored_bytes_ =
        kernel::byte_count(stored_bytes_.value() - internal::StoredBytes(*entry->second.response));
  }
  state_.claims.erase(entry);
}

kernel::log_time claim_table::ExpiryAfter(kernel::microseconds retention) const {
  return kernel::log_time(state_.latest_time.value() + retention.count());
}

}  // namespace cornelweir::claims
