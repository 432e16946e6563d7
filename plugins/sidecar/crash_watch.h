#ifndef CORNELWEIR_PLUGINS_SIDECAR_CRASH_WATCH_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CRASH_WATCH_H_

#include <functional>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/quarantine.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Finds out whether broken connections to the upstream on this host were the end of its process,
// and which requests may have caused it. The results of the broken requests wait for that, so that
// a request that caused it is not sent on before it is known.
class crash_watch {
 public:
  struct handlers {
    // A probe has shown that the upstream has ended. There may be no suspects.
    std::function<void(const quarantine::crash_suspects&)> crashed;
    // The result of a request need not wait any longer. Called after crashed.
    std::function<void(admission::ticket)> decided;
  };

  crash_watch(daemon_context& context, handlers callbacks);

  // A connection broke while the upstream ran the request. decided is called later.
  void OnBroken(admission::ticket id, kernel::fingerprint request, bool resent);
  // Returns whether the request waits. It does not wait any longer.
  bool Cancel(admission::ticket id) { return std::erase(waiting_, id) > 0; }
  void OnCompleted(kernel::fingerprint request);
  // Another process of the upstream has announced itself. Returns the suspects if the one before
  // crashed and no probe has shown it.
  quarantine::crash_suspects OnReplaced() { return detector_.OnReplaced(Now()); }
  // The upstream has said that it ends, or was withdrawn.
  void OnLeaving() { detector_.OnLeaving(); }

 private:
  kernel::time_point Now() const { return context_.clock.Now(); }
  void Probe();
  void OnProbed(http::connect_result result);

  daemon_context& context_;
  handlers handlers_;
  quarantine::crash_detector detector_;
  std::vector<admission::ticket> waiting_;
  loop::timer timer_;
  http::connect_probe probe_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CRASH_WATCH_H_
