#ifndef CORNELWEIR_SRC_QUOTA_QUOTA_MERGER_H_
#define CORNELWEIR_SRC_QUOTA_QUOTA_MERGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/strong_id.h"
#include "cornelweir/src/quota/host_reserve.h"
#include "cornelweir/src/quota/messages.h"

namespace cornelweir::quota {

// Identifies the request of a daemon at its control host.
using pending_request_id = kernel::strong_id<struct pending_request_id_tag, std::uint64_t>;

// Merges the requests of the daemons of a control host into requests to the owner with one entry
// for each workspace, and divides the grants. While no owner answers, or a new one has no tokens
// yet, requests that wait get tokens of the reserve. The lifetime of a token counts from the
// sending of the merged request, so the time that a daemon's request has waited here is added to
// it; that of a token of the reserve counts from the answer.
class quota_merger {
 public:
  struct answer {
    pending_request_id request;
    quota_grant grant;
  };

  // The nonces of the merged requests count from the given one, which must differ between the
  // processes of a host.
  explicit quota_merger(kernel::nonce first_nonce) : next_nonce_(first_nonce) {}

  void Add(pending_request_id id, quota_request request, kernel::time_point now);
  // Merges the requests that were added since the last call, as far as one message holds them, and
  // adds statements about the reserve that are due.
  std::optional<quota_request> NextRequest(kernel::time_point now);
  std::vector<answer> OnGrant(const quota_grant& grant, kernel::time_point now);
  // Requests in progress are merged again, since the owner that had them no longer answers.
  void OnOwnerChanged();
  // Answers from the reserve if the owner is silent, and drops the requests of daemons that ask
  // again by now. To be called, followed by NextRequest(), every few milliseconds while HasWork()
  // is true.
  std::vector<answer> Tick(kernel::time_point now);
  bool HasWork() const { return !queued_.empty() || !sent_.empty() || !reserve_.empty(); }

 private:
  struct daemon_request {
    pending_request_id id;
    quota_request request;
    kernel::time_point received_at;
  };
  struct merged_request {
    kernel::time_point sent_at;
    std::vector<daemon_request> requests;
  };
  // What is left of the grant for a workspace.
  struct share {
    token_grant grant;
    std::int64_t left = 0;
  };
  using share_map = std::unordered_map<kernel::workspace_id, share>;

  std::vector<answer> Divide(const merged_request& merged, share_map& shares,
                             kernel::time_point now);

  void KeepPending(std::vector<daemon_request>& requests, std::vector<answer>& answers);
  void DropExpired(kernel::time_point now);
  bool OwnerIsSilent(kernel::time_point now) const;
  void AnswerFromReserve(std::vector<daemon_request>& requests, std::vector<answer>& answers,
                         kernel::time_point now);

  host_reserve reserve_;
  // No grant has arrived since the owner was found silent.
  bool silent_ = false;
  std::vector<daemon_request> queued_;
  // The merged requests that are in progress.
  std::map<kernel::nonce, merged_request> sent_;
  kernel::nonce next_nonce_;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_QUOTA_MERGER_H_
