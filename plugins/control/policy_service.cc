#include "plugins/control/policy_service.h"

#include <xxhash.h>

#include <string>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

kernel::policy_digest ComputeDigest(const policy::policy_table& table) {
  const std::string bytes = codec::Encode(table);
  return kernel::policy_digest(XXH3_64bits(bytes.data(), bytes.size()));
}

void LogOutcome(const policy::policy_table& table, kernel::policy_version base,
                kernel::policy_version current, std::string_view outcome) {
  logging::event(logging::event_id::kPolicyDecided)
      .With("version", table.version)
      .With("base", base)
      .With("current", current)
      .With("outcome", outcome);
}

}  // namespace internal

policy_port policy_service::MakePort() {
  policy_port port;
  port.replace = [this](kernel::policy_version base, const policy::policy_table& table,
                        const policy_port::replace_callback& callback) {
    Replace(base, table, callback);
  };
  port.read = [this](const policy_port::read_callback& callback) { Read(callback); };
  return port;
}

void policy_service::Read(const policy_port::read_callback& callback) {
  owner_.local_replica().Read([this, callback](bool is_current) {
    const auto& newest = owner_.local_replica().machine().policy().current();
    logging::event(logging::event_id::kPolicyRead)
        .With("current", is_current)
        .With("version", newest->version);
    callback(is_current ? newest : nullptr);
  });
}

void policy_service::Replace(kernel::policy_version base, const policy::policy_table& table,
                             const policy_port::replace_callback& callback) {
  owner_.local_replica().Read([this, base, table, callback](bool is_current) {
    if (!is_current) {
      internal::LogOutcome(table, base, kernel::policy_version(), "not-proved-current");
      callback(policy_answer::kUnknown);
      return;
    }
    Submit(base, table, callback);
  });
}

void policy_service::Submit(kernel::policy_version base, const policy::policy_table& table,
                            const policy_port::replace_callback& callback) {
  const cornelweir::control::policy_store& store = owner_.local_replica().machine().policy();
  const policy::policy_table& current = *store.current();
  const kernel::policy_digest digest = internal::ComputeDigest(table);
  if (store.WasAccepted(table.version, digest)) {
    internal::LogOutcome(table, base, current.version, "accepted-before");
    callback(policy_answer::kAccepted);
    return;
  }
  if (base != current.version || table.version <= current.version) {
    internal::LogOutcome(table, base, current.version, "conflict");
    callback(policy_answer::kConflict);
    return;
  }
  cornelweir::control::replace_policy_command command{policy::Diff(current, table), digest};
  owner_.Submit(std::move(command), [table, base, callback](const auto& outcome) {
    const auto* decided =
        outcome ? std::get_if<cornelweir::control::policy_outcome>(&*outcome) : nullptr;
    if (decided == nullptr) {
      internal::LogOutcome(table, base, kernel::policy_version(), "unknown");
      callback(policy_answer::kUnknown);
      return;
    }
    internal::LogOutcome(table, base, decided->current,
                         decided->accepted ? "accepted" : "conflict");
    callback(decided->accepted ? policy_answer::kAccepted : policy_answer::kConflict);
  });
}

}  // namespace cornelweir::plugins::control
