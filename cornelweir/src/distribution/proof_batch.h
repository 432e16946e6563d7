#ifndef CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_

#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Combines the proof queries of subscribers into one query to the source, one at a time.
//
// A query covers only the nonces that arrived before it was first sent. Its answer may have been
// created at any time after that, which could be too early for a later nonce.
class proof_batch {
 public:
  // A subscriber and the nonce of its unanswered query.
  using pending_nonce = std::pair<subscriber_id, kernel::nonce>;

  // Numbers queries from first_nonce on. It must be random, so that an answer to a query of another
  // process is not taken for an answer to a query of this one.
  explicit proof_batch(kernel::nonce first_nonce) : next_query_(first_nonce) {}

  // Adds a nonce to the next query. Ignores a nonce that is already unanswered. Drops the oldest
  // nonce of a subscriber that exceeds kMaxNoncesPerSubscriber.
  void Add(subscriber_id subscriber, kernel::nonce nonce);

  void Remove(subscriber_id subscriber);

  // The query to send now, if any: a new one if none is unanswered, or the unanswered one again
  // after kResyncInterval. Repeating it is safe, since the nonces that it covers arrived before it
  // was first sent.
  std::optional<kernel::nonce> TakeDueQuery(kernel::time_point now);

  // Makes the next TakeDueQuery() repeat the unanswered query at once. Used by a relay with a new
  // publisher.
  void RetryImmediately() { sent_at_.reset(); }

  // The nonces covered by the answer to `query`. Empty if `query` is not the unanswered one.
  std::vector<pending_nonce> TakeAnswered(kernel::nonce query);

 private:
  // Not yet covered by a query.
  std::vector<pending_nonce> pending_;
  // Covered by query_.
  std::vector<pending_nonce> covered_;
  std::optional<kernel::nonce> query_;
  std::optional<kernel::time_point> sent_at_;
  kernel::nonce next_query_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PROOF_BATCH_H_
