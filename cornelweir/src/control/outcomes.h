#ifndef CORNELWEIR_SRC_CONTROL_OUTCOMES_H_
#define CORNELWEIR_SRC_CONTROL_OUTCOMES_H_

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/claims.h"
#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::control {

// A row of the draft with its version after an edit.
struct row_version_entry {
  table::row_key key;
  kernel::row_version row_version;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &row_version_entry::key},
                      kernel::field{"row_version", &row_version_entry::row_version}};
  }
};

// An edit that was based on another version of its row than the current one in the draft.
struct edit_conflict {
  table::row_key key;
  kernel::row_version expected_row_version;
  kernel::row_version actual_row_version;
  std::optional<table::row_content> current;
  std::optional<table::row_content> yours;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &edit_conflict::key},
                      kernel::field{"expected_row_version", &edit_conflict::expected_row_version},
                      kernel::field{"actual_row_version", &edit_conflict::actual_row_version},
                      kernel::field{"current", &edit_conflict::current},
                      kernel::field{"yours", &edit_conflict::yours}};
  }
};

struct edited_outcome {
  static constexpr std::string_view kType = "edited";

  std::vector<row_version_entry> row_versions;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"row_versions", &edited_outcome::row_versions}};
  }
};

struct conflict_outcome {
  static constexpr std::string_view kType = "conflict";

  std::vector<edit_conflict> conflicts;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"conflicts", &conflict_outcome::conflicts}};
  }
};

struct invalid_outcome {
  static constexpr std::string_view kType = "invalid";

  std::vector<table::table_fault> faults;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"faults", &invalid_outcome::faults}};
  }
};

struct accepted_outcome {
  static constexpr std::string_view kType = "accepted";

  kernel::table_version version;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &accepted_outcome::version}};
  }
};

// The outcome of an announcement. If it is refused, needed is the smallest incarnation of this
// upstream that would be accepted.
struct announced_outcome {
  static constexpr std::string_view kType = "announced";

  bool accepted = false;
  kernel::incarnation needed;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"accepted", &announced_outcome::accepted},
                      kernel::field{"needed", &announced_outcome::needed}};
  }
};

struct claimed_outcome {
  static constexpr std::string_view kType = "claimed";

  claims::claim_result result;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"result", &claimed_outcome::result}};
  }
};

struct done_outcome {
  static constexpr std::string_view kType = "done";

  static constexpr auto Fields() { return std::tuple{}; }
};

struct refused_outcome {
  static constexpr std::string_view kType = "refused";

  std::string reason;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"reason", &refused_outcome::reason}};
  }
};

// The outcome of replacing the policy, and the version in force after it.
struct policy_outcome {
  static constexpr std::string_view kType = "policy";

  bool accepted = false;
  // Whether this command changed the policy; false if an earlier one with the same content did.
  bool changed = false;
  kernel::policy_version current;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"accepted", &policy_outcome::accepted},
                      kernel::field{"changed", &policy_outcome::changed},
                      kernel::field{"current", &policy_outcome::current}};
  }
};

// The outcome of starting or advancing a rollout.
struct rollout_outcome {
  static constexpr std::string_view kType = "rollout";

  bool accepted = false;
  // Whether this command changed the record; false if an earlier order with the same content did.
  bool changed = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"accepted", &rollout_outcome::accepted},
                      kernel::field{"changed", &rollout_outcome::changed}};
  }
};

using outcome = std::variant<edited_outcome, conflict_outcome, invalid_outcome, accepted_outcome,
                             announced_outcome, claimed_outcome, done_outcome, refused_outcome,
                             policy_outcome, rollout_outcome>;

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_OUTCOMES_H_
