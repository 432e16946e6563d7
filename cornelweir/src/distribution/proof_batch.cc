#include "cornelweir/src/distribution/proof_batch.h"

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {

void proof_batch::Add(subscriber_id subscriber, kernel::nonce nonce) {
  const pending_nonce added{subscriber, nonce};
  for (const auto* list : {&pending_, &covered_}) {
    if (std::find(list->begin(), list->end(), added) != list->end()) return;
  }
  const auto is_from_subscriber = [&](const pending_nonce& entry) {
    return entry.first == subscriber;
  };
  const auto count = std::count_if(pending_.begin(), pending_.end(), is_from_subscriber);
  if (static_cast<std::size_t>(count) >= kMaxNoncesPerSubscriber) {
    pending_.erase(std::find_if(pending_.begin(), pending_.end(), is_from_subscriber));
  }
  pending_.push_back(added);
}

void proof_batch::Remove(subscriber_id subscriber) {
  const auto is_from_subscriber = [&](const pending_nonce& entry) {
    return entry.first == subscriber;
  };
  std::erase_if(pending_, is_from_subscriber);
  std::erase_if(covered_, is_from_subscriber);
}

std::optional<kernel::nonce> proof_batch::TakeDueQuery(kernel::time_point now) {
  if (query_ && covered_.empty()) query_.reset();
  if (query_) {
    if (sent_at_ && now - *sent_at_ < kResyncInterval) return std::nullopt;
    sent_at_ = now;
    return query_;
  }
  if (pending_.empty()) return std::nullopt;
  covered_ = std::move(pending_);
  pending_.clear();
  query_ = next_query_;
  next_query_ = kernel::Next(next_query_);
  sent_at_ = now;
  return query_;
}

std::vector<proof_batch::pending_nonce> proof_batch::TakeAnswered(kernel::nonce query) {
  if (query_ != query) return {};
  query_.reset();
  return std::exchange(covered_, {});
}

}  // namespace cornelweir::distribution
