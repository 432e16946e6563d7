#ifndef CORNELWEIR_PLUGINS_CONTROL_CURRENCY_STATUS_H_
#define CORNELWEIR_PLUGINS_CONTROL_CURRENCY_STATUS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/protocol.h"
#include "cornelweir/replication.h"
#include "cornelweir/storage.h"

namespace cornelweir::plugins::control {

// A voter counts as heard from if its last message is younger than this.
inline constexpr kernel::milliseconds kHeardPeriod{1'000};

// Whether a control host is current, and what is needed to find out why it is not.
struct currency_status {
  protocol::currency_state state = protocol::currency_state::kCurrent;
  // Empty while this host is current.
  std::optional<kernel::microseconds> outage;
  replication::role role = replication::role::kFollower;
  kernel::term term;
  std::vector<replication::voter_contact> voters;
  std::size_t learners = 0;
  // The latest round that a majority confirmed as far as this process knows, and the time since it
  // learned of it.
  kernel::heartbeat_round confirmed_round;
  std::optional<kernel::microseconds> confirmed_age;
  kernel::log_index applied;
  kernel::log_index committed;
  kernel::policy_version policy;
  storage::storage_state storage = storage::storage_state::kHealthy;
  // How long it took to write and sync the last batch of the log.
  std::optional<kernel::microseconds> sync_duration;

  // The number of voters heard from within kHeardPeriod, with this host if it is one.
  std::size_t VotersHeard() const;
};

// Returns the voters with the age of their last message in milliseconds, as "b=12,c=none". Names at
// most kMaxListedVoters of them and counts the others.
inline constexpr std::size_t kMaxListedVoters = 16;
std::string DescribeVoters(const std::vector<replication::voter_contact>& voters);

// Returns the round as "<term>:<counter>".
std::string DescribeRound(kernel::heartbeat_round round);

// Returns a number of milliseconds, or "none".
std::string DescribeAge(const std::optional<kernel::microseconds>& age);

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CURRENCY_STATUS_H_
