#ifndef CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_

#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Collects the nonces of subscribers into one question at a time.
//
// A question covers the nonces that arrived before it was asked, and no others: its answer may have
// been formed at any time after it was asked, which for a later nonce could be too early.
class proof_batch {
 public:
  // A nonce that got its answer, and whose it is.
  using waiting_nonce = std::pair<subscriber_id, kernel::nonce>;

  // Questions are numbered from first on. It has to be random, so that an answer to a question of
  // another process is not taken for an answer to one from here.
  explicit proof_batch(kernel::nonce first) : next_(first) {}

  // Remembers a nonce. A repeated one keeps its place. The oldest one of a subscriber is dropped
  // if it has more than kMaxNoncesPerSubscriber.
  void Add(subscriber_id subscriber, kernel::nonce nonce);

  void Remove(subscriber_id subscriber);

  // The question to ask now, if any: a new one if none is unanswered, or the unanswered one once
  // more if kResyncInterval has passed. Repeating it is safe, as the nonces that it covers arrived
  // before it was asked first.
  std::optional<kernel::nonce> Ask(kernel::time_point now);

  // Forgets when the unanswered question was asked, so that Ask() repeats it at once. For a relay
  // that has a new publisher.
  void AskAgain() { asked_at_.reset(); }

  // The nonces that an answer covers. Empty if it answers no question that is unanswered here.
  std::vector<waiting_nonce> Answer(kernel::nonce question);

 private:
  std::vector<waiting_nonce> waiting_;
  std::vector<waiting_nonce> covered_;
  std::optional<kernel::nonce> question_;
  std::optional<kernel::time_point> asked_at_;
  kernel::nonce next_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_
