#include "plugins/sidecar/input_backlog.h"

#include <algorithm>
#include <utility>

namespace cornelweir::plugins::sidecar {
namespace internal {

// A cancellation that waited for less is read within 0.5 s of its arrival without a delay here.
constexpr kernel::milliseconds kMinPause{400};
// An expired timer is handled after all sockets that were readable at that time, so each expiry is
// a pass over the unread input, however slow the host is. A link reads 32 KiB in a pass.
constexpr kernel::milliseconds kPassPeriod{50};
constexpr int kPasses = 2;

}  // namespace internal

input_backlog::input_backlog(daemon_context& context, std::function<void()> on_read)
    : context_(context), on_read_(std::move(on_read)), pass_timer_(context.loop) {}

bool input_backlog::IsUnread() {
  const kernel::time_point now = context_.clock.Now();
  const kernel::time_point arrival = context_.pauses.InputArrival(now);
  if (now - arrival >= internal::kMinPause && paused_at_ != arrival) {
    paused_at_ = arrival;
    passes_left_ = internal::kPasses;
    pass_timer_.StartPeriodic(internal::kPassPeriod, [this] { OnPass(); });
  }
  return passes_left_ > 0;
}

kernel::time_point input_backlog::Arrival() {
  const kernel::time_point arrival = context_.pauses.InputArrival(context_.clock.Now());
  return IsUnread() ? std::min(*paused_at_, arrival) : arrival;
}

void input_backlog::OnPass() {
  if (--passes_left_ > 0) return;
  pass_timer_.Cancel();
  on_read_();
}

}  // namespace cornelweir::plugins::sidecar
