#include "programs/cornelweir_replay/replayer.h"

#include <algorithm>

namespace cornelweir::programs::replay {
namespace {

constexpr kernel::milliseconds kStep{10};

}  // namespace

replayer::replayer(const trace& recorded) : trace_(recorded), random_(recorded.seed) {
  for (std::int64_t number = 0; number < trace_.control_hosts; ++number) {
    controls_[process_name("control-" + std::to_string(number))];
  }
  for (const daemon_shape& shape : trace_.daemons) daemons_[shape.name].service = shape.service;
  accepted_[kernel::table_version()];
}

std::vector<std::string> replayer::Run() {
  for (const auto& [name, host] : controls_) {
    StartControl(name, /*disk_lost=*/true, /*bootstrap=*/true);
  }
  for (const auto& [name, at] : daemons_) StartDaemon(name);
  std::int64_t end_ms = 0;
  for (const timed_event& event : trace_.events) end_ms = std::max(end_ms, event.at_ms);
  for (const expected_outcome& outcome : trace_.outcomes) {
    end_ms = std::max(end_ms, outcome.at_ms);
  }
  for (std::int64_t at_ms = 0; at_ms <= end_ms; at_ms += kStep.count()) {
    const auto in_step = [&](std::int64_t when) {
      return when >= at_ms && when < at_ms + kStep.count();
    };
    for (const timed_event& event : trace_.events) {
      if (!in_step(event.at_ms)) continue;
      std::visit([this](const auto& body) { Run(body); }, event.event);
    }
    Step();
    for (const expected_outcome& outcome : trace_.outcomes) {
      if (in_step(outcome.at_ms)) Check(outcome);
    }
    clock_.Advance(kStep);
  }
  return failures_;
}

bool replayer::IsUp(const process_name& process) const {
  if (const auto host = controls_.find(process); host != controls_.end()) {
    return host->second.node.has_value();
  }
  const auto at = daemons_.find(process);
  return at != daemons_.end() && at->second.relay.has_value();
}

bool replayer::CanReach(const process_name& from, const process_name& to) const {
  return IsUp(from) && IsUp(to) && cut_.contains(from) == cut_.contains(to);
}

void replayer::Post(const process_name& from, const process_name& to, std::function<void()> run) {
  const kernel::milliseconds latency(trace_.latency_ms);
  deliveries_.insert(delivery{Now() + latency, next_delivery_++, from, to, std::move(run)});
}

void replayer::Step() {
  while (!deliveries_.empty() && deliveries_.begin()->at <= Now()) {
    const delivery next = deliveries_.extract(deliveries_.begin()).value();
    if (CanReach(next.from, next.to)) next.run();
  }
  for (auto& [name, host] : controls_) {
    if (host.node) TickControl(name, host);
  }
  for (auto& [name, at] : daemons_) {
    if (at.relay) TickDaemon(name, at);
  }
}

}  // namespace cornelweir::programs::replay
