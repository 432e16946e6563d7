#ifndef CORNELWEIR_PLUGINS_SIDECAR_INPUT_BACKLOG_H_
#define CORNELWEIR_PLUGINS_SIDECAR_INPUT_BACKLOG_H_

#include <functional>
#include <optional>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Tells whether input that arrived during a pause of this process may still be unread: a request
// that waited may be followed by its cancellation, or by the end of its caller's connection.
class input_backlog {
 public:
  // on_read is called when the input that waited during a pause has been read.
  input_backlog(daemon_context& context, std::function<void()> on_read);

  // Also false after a pause that is too short to matter.
  bool IsUnread();
  // The earliest time at which input that is handled now may have arrived.
  kernel::time_point Arrival();

 private:
  void OnPass();

  daemon_context& context_;
  std::function<void()> on_read_;
  loop::timer pass_timer_;
  // The beginning of the latest pause that was long enough.
  std::optional<kernel::time_point> paused_at_;
  int passes_left_ = 0;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_INPUT_BACKLOG_H_
