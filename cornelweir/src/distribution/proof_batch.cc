#include "cornelweir/src/distribution/proof_batch.h"

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {

void proof_batch::Add(subscriber_id subscriber, kernel::nonce nonce) {
  const waiting_nonce added{subscriber, nonce};
  for (const auto* list : {&waiting_, &covered_}) {
    if (std::find(list->begin(), list->end(), added) != list->end()) return;
  }
  const auto own = [&](const waiting_nonce& entry) { return entry.first == subscriber; };
  const auto count = std::count_if(waiting_.begin(), waiting_.end(), own);
  if (static_cast<std::size_t>(count) >= kMaxNoncesPerSubscriber) {
    waiting_.erase(std::find_if(waiting_.begin(), waiting_.end(), own));
  }
  waiting_.push_back(added);
}

void proof_batch::Remove(subscriber_id subscriber) {
  const auto own = [&](const waiting_nonce& entry) { return entry.first == subscriber; };
  std::erase_if(waiting_, own);
  std::erase_if(covered_, own);
}

std::optional<kernel::nonce> proof_batch::Ask(kernel::time_point now) {
  if (question_ && covered_.empty()) question_.reset();
  if (question_) {
    if (asked_at_ && now - *asked_at_ < kResyncInterval) return std::nullopt;
    asked_at_ = now;
    return question_;
  }
  if (waiting_.empty()) return std::nullopt;
  covered_ = std::move(waiting_);
  waiting_.clear();
  question_ = next_;
  next_ = kernel::Next(next_);
  asked_at_ = now;
  return question_;
}

std::vector<proof_batch::waiting_nonce> proof_batch::Answer(kernel::nonce question) {
  if (question_ != question) return {};
  question_.reset();
  return std::exchange(covered_, {});
}

}  // namespace cornelweir::distribution
