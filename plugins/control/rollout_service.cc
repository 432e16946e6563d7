#include "plugins/control/rollout_service.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::control {
namespace internal {

kernel::order_digest ComputeDigest(const rollout_order& order) {
  // The separator occurs in no number, so different orders give different texts.
  const std::string text = std::to_string(order.service.value().size()) + ':' +
                           order.service.value() + ':' + order.target.value() + ':' +
                           std::to_string(order.duration.count());
  return kernel::order_digest(XXH3_64bits(text.data(), text.size()));
}

std::string_view AnswerName(rollout_answer answer) {
  switch (answer) {
    case rollout_answer::kAccepted:
      return "accepted";
    case rollout_answer::kConflict:
      return "conflict";
    case rollout_answer::kUnknownService:
      return "unknown-service";
    case rollout_answer::kNotStored:
      return "not-stored";
    case rollout_answer::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace internal

rollout_port rollout_service::MakePort() {
  rollout_port port;
  port.start = [this](const rollout_order& order, const rollout_port::start_callback& callback) {
    Start(order, callback);
  };
  port.read = [this](const kernel::service_name& service,
                     const rollout_port::read_callback& callback) { Read(service, callback); };
  return port;
}

void rollout_service::Read(const kernel::service_name& service,
                           const rollout_port::read_callback& callback) {
  owner_.local_replica().Read([this, service, callback](bool is_current) {
    rollout_status status;
    status.is_current = is_current;
    const auto* record = owner_.local_replica().machine().rollouts().Find(service);
    if (is_current && record != nullptr) status.record = *record;
    logging::event(logging::event_id::kRolloutRead)
        .With("service", service)
        .With("current", is_current)
        .With("found", record != nullptr);
    callback(status);
  });
}

void rollout_service::Start(const rollout_order& order,
                            const rollout_port::start_callback& callback) {
  const auto decide = [this, order, callback](rollout_answer answer) {
    logging::event(logging::event_id::kRolloutDecided)
        .With("service", order.service)
        .With("target", order.target)
        .With("duration_ms", order.duration.count())
        .With("outcome", internal::AnswerName(answer));
    owner_.metrics()
        .Counter("cornelweir_rollout_orders_total", "Orders of rollouts by outcome",
                 {{"outcome", std::string(internal::AnswerName(answer))}})
        .Increment();
    callback(answer);
  };
  if (!owner_.CanStore()) return decide(rollout_answer::kNotStored);
  owner_.local_replica().Read([this, order, decide](bool is_current) {
    if (!is_current) return decide(rollout_answer::kUnknown);
    if (!IsKnownService(order.service)) return decide(rollout_answer::kUnknownService);
    Submit(order, decide);
  });
}

bool rollout_service::IsKnownService(const kernel::service_name& service) const {
  const auto& services = owner_.local_replica().machine().policy().current()->services;
  return std::any_of(services.begin(), services.end(),
                     [&](const policy::service& known) { return known.name == service; });
}

std::vector<kernel::software_version> rollout_service::ReleasedVersions(
    const rollout_order& order) const {
  std::set<kernel::software_version> versions;
  for (const membership::roster_entry* entry : owner_.roster().EntriesOf(order.service)) {
    if (entry->upstream && !entry->upstream->version.value().empty()) {
      versions.insert(entry->upstream->version);
    }
  }
  versions.erase(order.target);
  return {versions.begin(), versions.end()};
}

void rollout_service::Submit(const rollout_order& order,
                             const rollout_port::start_callback& callback) {
  const cornelweir::control::rollout_store& store = owner_.local_replica().machine().rollouts();
  const kernel::order_digest digest = internal::ComputeDigest(order);
  if (store.WasAccepted(order.service, digest, SinceEpochMs().count())) {
    callback(rollout_answer::kAccepted);
    return;
  }
  const rollout::rollout_record* const latest = store.Find(order.service);
  if (latest != nullptr && rollout::IsRunning(*latest)) {
    callback(rollout_answer::kConflict);
    return;
  }
  owner_.Submit(
      cornelweir::control::start_rollout_command{order.service, order.target, order.duration,
                                                 digest, ReleasedVersions(order)},
      [callback](const auto& outcome) {
        const auto* decided =
            outcome ? std::get_if<cornelweir::control::rollout_outcome>(&*outcome) : nullptr;
        if (decided == nullptr) return callback(rollout_answer::kUnknown);
        callback(decided->accepted ? rollout_answer::kAccepted : rollout_answer::kConflict);
      });
}

}  // namespace cornelweir::plugins::control
