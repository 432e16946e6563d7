#include "plugins/sidecar/crash_watch.h"

#include <utility>

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::milliseconds kConnectTimeout{100};

}  // namespace internal

crash_watch::crash_watch(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      timer_(context.loop),
      probe_(context.loop) {}

void crash_watch::OnBroken(admission::ticket id, kernel::fingerprint request, bool resent) {
  detector_.OnBroken(request, resent, Now());
  if (waiting_.empty()) timer_.Start(quarantine::kCrashProbeDelay, [this] { Probe(); });
  waiting_.push_back(id);
}

void crash_watch::OnCompleted(kernel::fingerprint request) {
  detector_.OnCompleted(request, Now());
}

void crash_watch::Probe() {
  probe_.Start(context_.settings.sidecar->upstream, internal::kConnectTimeout,
               [this](http::connect_result result) { OnProbed(result); });
}

void crash_watch::OnProbed(http::connect_result result) {
  if (result == http::connect_result::kRefused) handlers_.crashed(detector_.OnRefused(Now()));
  for (const admission::ticket id : std::exchange(waiting_, {})) handlers_.decided(id);
}

}  // namespace cornelweir::plugins::sidecar
