#ifndef CORNELWEIR_PLUGINS_SIDECAR_ANNOUNCEMENT_TRUST_H_
#define CORNELWEIR_PLUGINS_SIDECAR_ANNOUNCEMENT_TRUST_H_

#include "cornelweir/kernel.h"

namespace cornelweir::plugins::sidecar {

// Decides whether an announcement is enough to use its upstream, or a health response is needed as
// well. An announcement may arrive late, when its upstream has left already. The daemon recognizes
// that only if it has known the upstream before: not after it has restarted, as an earlier process
// may have acknowledged that the upstream leaves, and not if it has acknowledged this of an id that
// it did not know.
class announcement_trust {
 public:
  // The longest time for which announcements are delayed. One that takes longer may be believed
  // although its upstream has left.
  static constexpr kernel::milliseconds kMaxAnnouncementDelay{10'000};

  explicit announcement_trust(kernel::time_point started_at)
      : trusted_from_(started_at + kMaxAnnouncementDelay) {}

  // Whether an upstream that is not known may be used because of an announcement that arrived at
  // this time. Later than kMaxAnnouncementDelay after a departure that this daemon can't recognize,
  // the announcement was sent after it.
  bool Suffices(kernel::time_point arrived_at) const { return arrived_at >= trusted_from_; }

  // The daemon has acknowledged that an upstream leaves which it does not know.
  void OnUnknownLeft(kernel::time_point now) { trusted_from_ = now + kMaxAnnouncementDelay; }

  // The upstream at the address has answered a probe. A later one has started since then, so this
  // daemon learns when it leaves.
  void OnHealthResponse() { trusted_from_ = kernel::time_point::min(); }

 private:
  kernel::time_point trusted_from_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_ANNOUNCEMENT_TRUST_H_
