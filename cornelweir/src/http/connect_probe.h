#ifndef CORNELWEIR_SRC_HTTP_CONNECT_PROBE_H_
#define CORNELWEIR_SRC_HTTP_CONNECT_PROBE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::http {

enum class connect_result : std::uint8_t {
  kAccepted,
  // Nothing listens at the endpoint.
  kRefused,
  // No answer in time, or another error: nothing is known.
  kUnknown,
};

// Finds out whether a server takes connections, without sending it anything.
class connect_probe {
 public:
  explicit connect_probe(loop::event_loop& loop);
  connect_probe(const connect_probe&) = delete;
  connect_probe& operator=(const connect_probe&) = delete;
  ~connect_probe();

  // Calls done once, never from within Start(), unless the probe is started again, cancelled or
  // destroyed before.
  void Start(const kernel::endpoint& endpoint, kernel::microseconds timeout,
             std::function<void(connect_result)> done);
  void Cancel();

 private:
  struct attempt;

  loop::event_loop& loop_;
  std::shared_ptr<attempt> attempt_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_CONNECT_PROBE_H_
