#include "cornelweir/src/quota/quota_merger.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {
namespace internal {

kernel::request_count Bounded(kernel::request_count count) {
  return std::clamp(count, kernel::request_count(0), kMaxTokensPerEntry);
}

kernel::request_count Sum(kernel::request_count left, kernel::request_count right) {
  return Bounded(kernel::request_count(left.value() + Bounded(right).value()));
}

}  // namespace internal

void quota_merger::Add(pending_request_id id, quota_request request, kernel::time_point now) {
  queued_.push_back({id, std::move(request), now});
}

std::optional<quota_request> quota_merger::NextRequest(kernel::time_point now) {
  DropExpired(now);
  const std::vector<kernel::workspace_id> overdue = reserve_.Overdue(now);
  if (queued_.empty() && overdue.empty()) return std::nullopt;
  quota_request merged;
  std::unordered_map<kernel::workspace_id, std::size_t> positions;
  std::size_t taken = 0;
  while (taken < queued_.size() && merged.entries.size() < kMaxMergedEntries) {
    for (const token_request& entry : queued_[taken].request.entries) {
      const auto [found, added] = positions.try_emplace(entry.workspace, merged.entries.size());
      if (added) merged.entries.push_back({entry.workspace, {}});
      token_request& sum = merged.entries[found->second];
      sum.wanted = internal::Sum(sum.wanted, entry.wanted);
      sum.waiting = internal::Sum(sum.waiting, entry.waiting);
      sum.arrived = internal::Sum(sum.arrived, entry.arrived);
    }
    ++taken;
  }
  for (const kernel::workspace_id& workspace : overdue) {
    if (!positions.contains(workspace)) merged.entries.push_back({workspace, {}});
  }
  merged.nonce = next_nonce_;
  next_nonce_ = Next(next_nonce_);
  const auto end = queued_.begin() + static_cast<std::ptrdiff_t>(taken);
  for (token_request& entry : merged.entries) reserve_.AddStatement(entry, merged.nonce, now);
  sent_[merged.nonce] = {now,
                         {std::make_move_iterator(queued_.begin()), std::make_move_iterator(end)}};
  queued_.erase(queued_.begin(), end);
  return merged;
}

std::vector<quota_merger::answer> quota_merger::OnGrant(const quota_grant& grant,
                                                        kernel::time_point now) {
  for (const token_grant& entry : grant.entries) reserve_.OnGrant(entry, grant.nonce, now);
  DropExpired(now);
  const auto found = sent_.find(grant.nonce);
  if (found == sent_.end()) return {};
  silent_ = false;
  merged_request merged = std::move(found->second);
  sent_.erase(found);
  share_map shares;
  for (const token_grant& entry : grant.entries) {
    reserve_.OnPassedOn(entry, now);
    shares[entry.workspace] = {entry, internal::Bounded(entry.granted).value()};
  }
  std::vector<answer> answers = Divide(merged, shares, now);
  KeepPending(merged.requests, answers);
  return answers;
}

// Requests for which the owner has no tokens yet are merged again, in the order of their arrival,
// instead of being sent back to daemons that would ask again later than others.
void quota_merger::KeepPending(std::vector<daemon_request>& requests,
                               std::vector<answer>& answers) {
  std::vector<daemon_request> kept;
  std::vector<answer> given;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const auto& entries = answers[i].grant.entries;
    const bool has_tokens = std::any_of(entries.begin(), entries.end(), [](const auto& entry) {
      return entry.granted.value() > 0 || !entry.pending;
    });
    if (has_tokens || entries.empty()) {
      given.push_back(std::move(answers[i]));
      continue;
    }
    for (token_request& entry : requests[i].request.entries) entry.arrived = {};
    kept.push_back(std::move(requests[i]));
  }
  queued_.insert(queued_.begin(), std::make_move_iterator(kept.begin()),
                 std::make_move_iterator(kept.end()));
  answers = std::move(given);
}

// Serves the requests of callers that wait before the stores of daemons, both in the order in which
// the daemons asked.
std::vector<quota_merger::answer> quota_merger::Divide(const merged_request& merged,
                                                       share_map& shares, kernel::time_point now) {
  std::vector<answer> answers;
  answers.reserve(merged.requests.size());
  const auto give = [](share& source, std::int64_t most, token_grant& receiver) {
    const std::int64_t part = std::clamp<std::int64_t>(most, 0, source.left);
    source.left -= part;
    receiver.granted = kernel::request_count(receiver.granted.value() + part);
  };
  for (const daemon_request& asked : merged.requests) {
    answer& created = answers.emplace_back(answer{asked.id, {asked.request.nonce, {}}});
    for (const token_request& entry : asked.request.entries) {
      share& source = shares[entry.workspace];
      token_grant& receiver = created.grant.entries.emplace_back(source.grant);
      receiver.workspace = entry.workspace;
      receiver.reserved = {};
      receiver.reserve_lifetime = {};
      receiver.lifetime += merged.sent_at - asked.received_at;
      receiver.granted = {};
      const std::int64_t waiting = std::min(entry.wanted, entry.waiting).value();
      give(source, waiting, receiver);
      if (!source.grant.pending || receiver.granted.value() >= waiting) continue;
      const token_grant reserved =
          reserve_.Take(entry.workspace, waiting - receiver.granted.value(), now);
      receiver.granted = kernel::request_count(receiver.granted.value() + reserved.granted.value());
    }
  }
  for (std::size_t i = 0; i < merged.requests.size(); ++i) {
    std::size_t position = 0;
    for (token_grant& receiver : answers[i].grant.entries) {
      const token_request& entry = merged.requests[i].request.entries[position++];
      give(shares[entry.workspace], entry.wanted.value() - receiver.granted.value(), receiver);
    }
  }
  return answers;
}

void quota_merger::OnOwnerChanged() {
  std::vector<daemon_request> again;
  for (auto& [nonce, merged] : std::exchange(sent_, {})) {
    std::move(merged.requests.begin(), merged.requests.end(), std::back_inserter(again));
  }
  queued_.insert(queued_.begin(), std::make_move_iterator(again.begin()),
                 std::make_move_iterator(again.end()));
}

void quota_merger::DropExpired(kernel::time_point now) {
  const auto expired = [&](const daemon_request& asked) {
    return now - asked.received_at > kGrantTimeout;
  };
  std::erase_if(queued_, expired);
  std::erase_if(sent_, [&](const auto& entry) {
    const merged_request& merged = entry.second;
    return now - merged.sent_at > kGrantTimeout &&
           std::all_of(merged.requests.begin(), merged.requests.end(), expired);
  });
}

bool quota_merger::OwnerIsSilent(kernel::time_point now) const {
  const auto is_old = [&](kernel::time_point since) { return now - since >= kOwnerSilence; };
  return silent_ ||
         std::any_of(queued_.begin(), queued_.end(),
                     [&](const auto& asked) { return is_old(asked.received_at); }) ||
         std::any_of(sent_.begin(), sent_.end(),
                     [&](const auto& entry) { return is_old(entry.second.sent_at); });
}

std::vector<quota_merger::answer> quota_merger::Tick(kernel::time_point now) {
  silent_ = OwnerIsSilent(now);
  DropExpired(now);
  std::vector<answer> answers;
  if (!silent_) return answers;
  for (auto& [nonce, merged] : sent_) AnswerFromReserve(merged.requests, answers, now);
  AnswerFromReserve(queued_, answers, now);
  return answers;
}

// Serves requests of callers that wait. A request of a daemon for which there is no token stays
// with the owner.
void quota_merger::AnswerFromReserve(std::vector<daemon_request>& requests,
                                     std::vector<answer>& answers, kernel::time_point now) {
  std::erase_if(requests, [&](const daemon_request& asked) {
    const auto& entries = asked.request.entries;
    if (std::none_of(entries.begin(), entries.end(), [&](const token_request& entry) {
          return entry.waiting.value() > 0 && reserve_.Available(entry.workspace, now) > 0;
        })) {
      return false;
    }
    answer& created = answers.emplace_back(answer{asked.id, {asked.request.nonce, {}}});
    for (const token_request& entry : entries) {
      token_grant& given = created.grant.entries.emplace_back(
          reserve_.Take(entry.workspace, std::min(entry.wanted, entry.waiting).value(), now));
      given.lifetime += now - asked.received_at;
    }
    return true;
  });
}

}  // namespace cornelweir::quota
