#ifndef CORNELWEIR_SRC_QUOTA_QUOTA_STORE_H_
#define CORNELWEIR_SRC_QUOTA_QUOTA_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quota/messages.h"

namespace cornelweir::quota {

// The tokens that a daemon holds. Decides which requests of callers are admitted, and which tokens
// the daemon asks the owner for.
class quota_store {
 public:
  enum class verdict : std::uint8_t {
    kAdmitted,
    // The quota of the workspace is used up.
    kRefused,
    // The request waits for a token.
    kWaiting,
  };
  struct decision {
    verdict outcome = verdict::kWaiting;
    // When the token of an admitted request expires.
    kernel::time_point expires_at;
    // Time until the next token, if the request is refused.
    kernel::microseconds retry_after{};
  };

  // The nonces of the requests count from the given one, which must differ between the processes of
  // a host.
  explicit quota_store(kernel::nonce first_nonce) : next_nonce_(first_nonce) {}

  // Decides about a request that has arrived. One that waits must be decided again by Retry() after
  // every grant, until it is admitted or refused, or ended by Abandon().
  decision Take(const kernel::workspace_id& workspace, kernel::time_point now);
  decision Retry(const kernel::workspace_id& workspace, kernel::time_point now);
  void Abandon(const kernel::workspace_id& workspace);
  // Takes back the token of a request that did not run.
  void Return(const kernel::workspace_id& workspace, kernel::time_point expires_at,
              kernel::time_point now);

  // The request to send to the owner now, if any. The tokens that it brings expire counted from
  // this time.
  std::optional<quota_request> NextRequest(kernel::time_point now);
  // Whether NextRequest() may return a request later without a further event.
  bool HasRequestLater() const { return !unsatisfied_.empty() || awaited_requests_ > 0; }
  void OnGrant(const quota_grant& grant, kernel::time_point now);
  // Presumes the requests in progress lost, because the link is.
  void OnDisconnected();

  // Gives up requests without an answer and forgets workspaces that are not in use. To be called
  // every few milliseconds while HasRequestLater() is true.
  void Tick(kernel::time_point now);

 private:
  struct token_batch {
    kernel::time_point expires_at;
    std::int64_t count = 0;
  };
  struct account {
    // Ordered by expiry.
    std::vector<token_batch> tokens;
    std::int64_t waiting = 0;
    // Those of them that no request to the owner has counted yet.
    std::int64_t arrived = 0;
    // Tokens in requests that are in progress.
    std::int64_t requested = 0;
    // Moving average of the requests of callers, as their weighted number.
    double demand = 0;
    kernel::time_point demand_at;
    // Lifetime of the tokens in the latest grant.
    kernel::microseconds lifetime{};
    // After a refusal: requests are refused until this time without asking the owner, and the time
    // of the next token, which may be later.
    std::optional<kernel::time_point> refused_until;
    kernel::time_point next_token_at;
    // No tokens are requested before the first time, and none for the store before the second,
    // since the owner had too few.
    kernel::time_point ask_again_at;
    kernel::time_point store_again_at;
    // Whether unsatisfied_ contains the workspace.
    bool unsatisfied = false;
  };
  struct sent_request {
    kernel::time_point sent_at;
    std::vector<token_request> entries;
    // Presumed lost. A late grant still counts.
    bool overdue = false;
  };

  static std::int64_t ValidTokens(account& holder, kernel::time_point now);
  static std::int64_t StoredTarget(const account& holder, kernel::time_point now);
  static void AddTokens(account& holder, std::int64_t count, kernel::time_point expires_at);
  decision Decide(account& holder, kernel::time_point now);
  void MarkUnsatisfied(const kernel::workspace_id& workspace, account& holder);
  // Ends the wait for the answer to a request. Tokens that are still needed are requested again.
  void EndRequest(const sent_request& request);
  void ForgetIdle(kernel::time_point now);

  std::unordered_map<kernel::workspace_id, account> accounts_;
  // Workspaces whose requests wait or whose stored tokens are below the target.
  std::vector<kernel::workspace_id> unsatisfied_;
  std::map<kernel::nonce, sent_request> sent_;
  // Requests in progress that are not overdue.
  std::int64_t awaited_requests_ = 0;
  kernel::nonce next_nonce_;
  std::optional<kernel::time_point> last_refill_at_;
  kernel::time_point last_sweep_at_;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_QUOTA_STORE_H_
