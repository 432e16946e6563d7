#ifndef CORNELWEIR_PLUGINS_ROLLOUT_PORT_H_
#define CORNELWEIR_PLUGINS_ROLLOUT_PORT_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "cornelweir/kernel.h"
#include "cornelweir/rollout.h"

namespace cornelweir::plugins {

// An operator's order to roll out a version of a service's software.
struct rollout_order {
  kernel::service_name service;
  kernel::software_version target;
  // Time limit of the rollout, from its start.
  kernel::milliseconds duration{};
};

// The result of an order.
enum class rollout_answer : std::uint8_t {
  // Accepted and durable on a majority, by this request or by an earlier one with the same content.
  kAccepted,
  // Another rollout of the service is running.
  kConflict,
  // The newest policy has no such service.
  kUnknownService,
  // This host's storage takes no writes. It has not been stored and will not be accepted.
  kNotStored,
  // The result is unknown: no majority answered in time. The order may take effect later.
  kUnknown,
};

// The latest rollout of a service.
struct rollout_status {
  // False if this host can't prove that its state is the newest.
  bool is_current = false;
  // Empty if there was no rollout of the service.
  std::optional<rollout::rollout_record> record;
};

// The functions that the control plug-in offers to the plug-ins that serve operators.
struct rollout_port {
  using start_callback = std::function<void(rollout_answer)>;
  using read_callback = std::function<void(const rollout_status&)>;

  std::function<void(rollout_order, start_callback)> start;
  std::function<void(kernel::service_name, read_callback)> read;
};

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_ROLLOUT_PORT_H_
