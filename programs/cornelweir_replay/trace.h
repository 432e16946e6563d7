#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_TRACE_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::programs::replay {

// A process of a trace: "control-0" or the name of a daemon.
using process_name = kernel::strong_id<struct process_name_tag, std::string>;

inline kernel::host_id HostOf(const process_name& name) { return kernel::host_id(name.value()); }
inline kernel::endpoint EndpointOf(const process_name& name) {
  return kernel::endpoint(name.value());
}

// A daemon of a trace and the service of the upstream beside it.
struct daemon_shape {
  process_name name;
  kernel::service_name service;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"name", &daemon_shape::name},
                      kernel::field{"service", &daemon_shape::service}};
  }
};

// Submits a command at a control host. The id names it in the stated outcomes.
struct command_event {
  static constexpr std::string_view kType = "command";

  std::string id;
  process_name host;
  control::command command;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &command_event::id},
                      kernel::field{"host", &command_event::host},
                      kernel::field{"command", &command_event::command}};
  }
};

// Ends a process without notice.
struct kill_event {
  static constexpr std::string_view kType = "kill";

  process_name process;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"process", &kill_event::process}};
  }
};

// Starts a process again. A control host may come back without its disk.
struct start_event {
  static constexpr std::string_view kType = "start";

  process_name process;
  bool disk_lost = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"process", &start_event::process},
                      kernel::field{"disk_lost", &start_event::disk_lost}};
  }
};

// Cuts these processes off from all others; those in the list still reach each other.
struct cut_event {
  static constexpr std::string_view kType = "cut";

  std::vector<process_name> processes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"processes", &cut_event::processes}};
  }
};

struct heal_event {
  static constexpr std::string_view kType = "heal";

  static constexpr auto Fields() { return std::tuple{}; }
};

// A request arrives at the daemon beside the upstream.
struct request_event {
  static constexpr std::string_view kType = "request";

  process_name daemon;
  std::uint64_t ticket = 0;
  kernel::workspace_id workspace;
  std::int64_t timeout_ms = 1000;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"daemon", &request_event::daemon},
                      kernel::field{"ticket", &request_event::ticket},
                      kernel::field{"tenant", &request_event::workspace},
                      kernel::field{"timeout_ms", &request_event::timeout_ms}};
  }
};

// The upstream answered a request.
struct finish_event {
  static constexpr std::string_view kType = "finish";

  process_name daemon;
  std::uint64_t ticket = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"daemon", &finish_event::daemon},
                      kernel::field{"ticket", &finish_event::ticket}};
  }
};

// A graceful shutdown of the upstream begins.
struct drain_event {
  static constexpr std::string_view kType = "drain";

  process_name daemon;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"daemon", &drain_event::daemon}};
  }
};

using event_body = std::variant<command_event, kill_event, start_event, cut_event, heal_event,
                                request_event, finish_event, drain_event>;

struct timed_event {
  std::int64_t at_ms = 0;
  event_body event;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"at_ms", &timed_event::at_ms},
                      kernel::field{"event", &timed_event::event}};
  }
};

// What the fleet must look like at a time.
// The move of the JSON library's value is not marked noexcept, but throws nothing.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct expected_outcome {
  std::int64_t at_ms = 0;
  // One of: "command", "enforced", "ready", "leader", "member", "request".
  std::string kind;
  // The command's id, or the process.
  std::string subject;
  // For "member": the upstream. For "request": the ticket.
  std::string object;
  // A part of the observed value that must be equal.
  codec::json value;
};

// A recorded trace with its stated outcomes. docs/TRACES.md describes the format.
struct trace {
  std::string name;
  std::string promise;
  std::uint64_t seed = 0;
  std::int64_t control_hosts = 3;
  std::int64_t latency_ms = 1;
  std::vector<daemon_shape> daemons;
  std::vector<timed_event> events;
  std::vector<expected_outcome> outcomes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"name", &trace::name},
                      kernel::field{"promise", &trace::promise},
                      kernel::field{"seed", &trace::seed},
                      kernel::field{"control_hosts", &trace::control_hosts},
                      kernel::field{"latency_ms", &trace::latency_ms},
                      kernel::field{"daemons", &trace::daemons},
                      kernel::field{"events", &trace::events}};
  }
};

// Reads a trace. The error text names the place that is wrong.
std::variant<trace, std::string> ParseTrace(std::string_view text);

}  // namespace cornelweir::programs::replay

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_TRACE_H_
