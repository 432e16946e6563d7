#ifndef CORNELWEIR_SRC_CONTROL_COMMANDS_H_
#define CORNELWEIR_SRC_CONTROL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/claims.h"
#include "cornelweir/kernel.h"
#include "cornelweir/membership.h"
#include "cornelweir/policy.h"
#include "cornelweir/rollout.h"
#include "cornelweir/table.h"

namespace cornelweir::control {

// The new content of one row of the draft, with the row version on which the edit is based.
// Version 0 means that the row must not exist; no content deletes the row.
struct row_edit {
  table::row_key key;
  kernel::row_version expected_row_version;
  std::optional<table::row_content> content;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &row_edit::key},
                      kernel::field{"expected_row_version", &row_edit::expected_row_version},
                      kernel::field{"content", &row_edit::content}};
  }
};

// Edits rows of the draft: all of them, or none if at least one conflicts.
struct edit_command {
  static constexpr std::string_view kType = "edit";

  kernel::change_id change_id;
  std::string author;
  std::vector<row_edit> edits;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"change_id", &edit_command::change_id},
                      kernel::field{"author", &edit_command::author},
                      kernel::field{"edits", &edit_command::edits}};
  }
};

// Makes the draft the next version, if it is valid.
struct accept_command {
  static constexpr std::string_view kType = "accept";

  kernel::change_id change_id;
  std::string author;
  std::string note;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"change_id", &accept_command::change_id},
                      kernel::field{"author", &accept_command::author},
                      kernel::field{"note", &accept_command::note}};
  }
};

// Makes the contents of an earlier version the next version, and the draft.
struct restore_command {
  static constexpr std::string_view kType = "restore";

  kernel::change_id change_id;
  std::string author;
  kernel::table_version version;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"change_id", &restore_command::change_id},
                      kernel::field{"author", &restore_command::author},
                      kernel::field{"version", &restore_command::version}};
  }
};

// Adds an upstream or changes its record.
struct announce_command {
  static constexpr std::string_view kType = "announce";

  membership::upstream_record record;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"record", &announce_command::record}};
  }
};

// Removes an upstream that left or whose lease expired.
struct leave_command {
  static constexpr std::string_view kType = "leave";

  kernel::upstream_id id;
  kernel::incarnation incarnation;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &leave_command::id},
                      kernel::field{"incarnation", &leave_command::incarnation}};
  }
};

// Reserves an idempotency key for one attempt before it runs.
struct claim_command {
  static constexpr std::string_view kType = "claim";

  kernel::idempotency_key key;
  kernel::attempt_id attempt;
  kernel::fingerprint fingerprint;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &claim_command::key},
                      kernel::field{"attempt", &claim_command::attempt},
                      kernel::field{"fingerprint", &claim_command::fingerprint}};
  }
};

// Stores the response of a claimed request.
struct complete_command {
  static constexpr std::string_view kType = "complete";

  kernel::idempotency_key key;
  kernel::attempt_id attempt;
  claims::stored_response response;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &complete_command::key},
                      kernel::field{"attempt", &complete_command::attempt},
                      kernel::field{"response", &complete_command::response}};
  }
};

// Releases the claim of a request that certainly did not run.
struct release_command {
  static constexpr std::string_view kType = "release";

  kernel::idempotency_key key;
  kernel::attempt_id attempt;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &release_command::key},
                      kernel::field{"attempt", &release_command::attempt}};
  }
};

// Reports that an upstream's connections broke while these requests were in progress.
struct crash_command {
  static constexpr std::string_view kType = "crash";

  kernel::upstream_id upstream;
  kernel::incarnation incarnation;
  std::vector<kernel::fingerprint> in_progress;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"upstream", &crash_command::upstream},
                      kernel::field{"incarnation", &crash_command::incarnation},
                      kernel::field{"in_progress", &crash_command::in_progress}};
  }
};

// Quarantines a request that crashed upstreams of a service, as the service's daemons decided.
struct quarantine_command {
  static constexpr std::string_view kType = "quarantine";

  kernel::fingerprint fingerprint;
  kernel::service_name service;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"fingerprint", &quarantine_command::fingerprint},
                      kernel::field{"service", &quarantine_command::service}};
  }
};

// Ends the quarantine of a request at an operator's request.
struct release_quarantine_command {
  static constexpr std::string_view kType = "release_quarantine";

  kernel::change_id change_id;
  kernel::fingerprint fingerprint;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"change_id", &release_quarantine_command::change_id},
                      kernel::field{"fingerprint", &release_quarantine_command::fingerprint}};
  }
};

// Replaces the whole policy, based on a given version. The proposer has validated it.
struct replace_policy_command {
  static constexpr std::string_view kType = "replace_policy";

  policy::policy_delta delta;
  // Of the encoded table.
  kernel::policy_digest digest;
  // Empty if a host of an earlier version proposed the command.
  std::optional<policy::policy_text> text;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"delta", &replace_policy_command::delta},
                      kernel::field{"digest", &replace_policy_command::digest},
                      kernel::field{"text", &replace_policy_command::text}};
  }
};

// Starts the rollout of a version of a service's software.
struct start_rollout_command {
  static constexpr std::string_view kType = "start_rollout";

  kernel::service_name service;
  kernel::software_version version;
  kernel::milliseconds duration{};
  kernel::order_digest order;
  // The versions of the service's upstreams that the proposer knows. Used for the first rollout of
  // the service.
  std::vector<kernel::software_version> released;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &start_rollout_command::service},
                      kernel::field{"version", &start_rollout_command::version},
                      kernel::field{"duration", &start_rollout_command::duration},
                      kernel::field{"order", &start_rollout_command::order},
                      kernel::field{"released", &start_rollout_command::released}};
  }
};

// Sets the share and the state of a running rollout.
struct advance_rollout_command {
  static constexpr std::string_view kType = "advance_rollout";

  kernel::service_name service;
  // The revision at which the rollout started.
  kernel::rollout_revision started;
  kernel::traffic_share share;
  rollout::rollout_state state = rollout::rollout_state::kRunning;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &advance_rollout_command::service},
                      kernel::field{"started", &advance_rollout_command::started},
                      kernel::field{"share", &advance_rollout_command::share},
                      kernel::field{"state", &advance_rollout_command::state}};
  }
};

using command = std::variant<edit_command, accept_command, restore_command, announce_command,
                             leave_command, claim_command, complete_command, release_command,
                             crash_command, release_quarantine_command, replace_policy_command,
                             start_rollout_command, advance_rollout_command, quarantine_command>;

// A command as stored in the log, with the leader's wall clock at the time of the proposal.
struct log_record {
  std::int64_t proposed_at_ms = 0;
  command body;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"proposed_at_ms", &log_record::proposed_at_ms},
                      kernel::field{"body", &log_record::body}};
  }
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_COMMANDS_H_
