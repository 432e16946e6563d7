#include "plugins/control/policy_service.h"

#include <xxhash.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

kernel::policy_digest ComputeDigest(std::string_view bytes) {
  return kernel::policy_digest(XXH3_64bits(bytes.data(), bytes.size()));
}

// Whether the whole table can be sent to a daemon that has no policy. Most tables are small enough
// without compression.
bool FitsDaemons(std::string_view encoded_table) {
  return encoded_table.size() <= protocol::kMaxPartedBytes / 2 ||
         codec::Deflate(encoded_table).size() <= protocol::kMaxPartedBytes / 2;
}

// Operators see what a version changes without its keys.
void LogAccepted(kernel::policy_version version, kernel::policy_version base,
                 kernel::policy_version current, const policy::change_counts& changes) {
  logging::event(logging::event_id::kPolicyDecided)
      .With("version", version)
      .With("base", base)
      .With("current", current)
      .With("outcome", "accepted")
      .With("added", changes.added)
      .With("removed", changes.removed)
      .With("changed", changes.changed);
}

void LogOutcome(kernel::policy_version version, kernel::policy_version base,
                kernel::policy_version current, std::string_view outcome) {
  logging::event(logging::event_id::kPolicyDecided)
      .With("version", version)
      .With("base", base)
      .With("current", current)
      .With("outcome", outcome);
}

}  // namespace internal

policy_port policy_service::MakePort() {
  policy_port port;
  port.replace = [this](kernel::policy_version base, policy_submission submission,
                        const policy_port::replace_callback& callback) {
    Replace(base, std::move(submission), callback);
  };
  port.read = [this](const policy_port::read_callback& callback) { Read(callback); };
  return port;
}

void policy_service::Read(const policy_port::read_callback& callback) {
  owner_.local_replica().Read([this, callback](bool is_current) {
    const cornelweir::control::policy_store& store = owner_.local_replica().machine().policy();
    logging::event(logging::event_id::kPolicyRead)
        .With("current", is_current)
        .With("version", store.current()->version);
    callback(is_current ? policy_reading{store.current(), store.text()} : policy_reading());
  });
}

void policy_service::Replace(kernel::policy_version base, policy_submission submission,
                             const policy_port::replace_callback& callback) {
  const kernel::policy_version version = submission.table.version;
  if (!owner_.CanStore()) {
    internal::LogOutcome(version, base, kernel::policy_version(), "not-stored");
    callback(policy_answer::kNotStored);
    return;
  }
  // Shared, since the callback must be copyable.
  const auto shared = std::make_shared<const policy_submission>(std::move(submission));
  owner_.local_replica().Read([this, base, version, shared, callback](bool is_current) {
    if (!is_current) {
      internal::LogOutcome(version, base, kernel::policy_version(), "not-proved-current");
      callback(policy_answer::kUnknown);
      return;
    }
    Submit(base, *shared, callback);
  });
}

void policy_service::Submit(kernel::policy_version base, const policy_submission& submission,
                            const policy_port::replace_callback& callback) {
  const cornelweir::control::policy_store& store = owner_.local_replica().machine().policy();
  const policy::policy_table& current = *store.current();
  const policy::policy_table& table = submission.table;
  const kernel::policy_version version = table.version;
  const std::string encoded = codec::EncodeDirectly(table);
  const kernel::policy_digest digest = internal::ComputeDigest(encoded);
  const kernel::policy_digest text_digest = internal::ComputeDigest(submission.normalized_text);
  if (store.WasAccepted({version, digest, text_digest})) {
    internal::LogOutcome(version, base, current.version, "accepted-before");
    callback(policy_answer::kAccepted);
    return;
  }
  if (base != current.version || version <= current.version) {
    internal::LogOutcome(version, base, current.version, "conflict");
    callback(policy_answer::kConflict);
    return;
  }
  if (!internal::FitsDaemons(encoded)) {
    internal::LogOutcome(version, base, current.version, "too-large");
    callback(policy_answer::kTooLarge);
    return;
  }
  cornelweir::control::replace_policy_command command{
      policy::Diff(current, table), digest,
      policy::policy_text{{codec::Deflate(submission.text)}, text_digest}};
  const policy::change_counts changes = policy::CountByKind(policy::Compare(current, table));
  owner_.Submit(std::move(command), [version, base, changes, callback](const auto& outcome) {
    const auto* refused =
        outcome ? std::get_if<cornelweir::control::refused_outcome>(&*outcome) : nullptr;
    if (refused != nullptr) {
      internal::LogOutcome(version, base, kernel::policy_version(), refused->reason);
      callback(policy_answer::kTooLarge);
      return;
    }
    const auto* decided =
        outcome ? std::get_if<cornelweir::control::policy_outcome>(&*outcome) : nullptr;
    if (decided == nullptr) {
      internal::LogOutcome(version, base, kernel::policy_version(), "unknown");
      callback(policy_answer::kUnknown);
      return;
    }
    if (!decided->accepted) {
      internal::LogOutcome(version, base, decided->current, "conflict");
      callback(policy_answer::kConflict);
      return;
    }
    internal::LogAccepted(version, base, decided->current, changes);
    callback(policy_answer::kAccepted);
  });
}

}  // namespace cornelweir::plugins::control
