#include "plugins/control/currency_status.h"

#include <algorithm>
#include <cstdint>

namespace cornelweir::plugins::control {

std::size_t currency_status::VotersHeard() const {
  return static_cast<std::size_t>(
      std::count_if(voters.begin(), voters.end(), [](const replication::voter_contact& voter) {
        return voter.age && *voter.age < kHeardPeriod;
      }));
}

std::string DescribeVoters(const std::vector<replication::voter_contact>& voters) {
  std::string text;
  for (std::size_t i = 0; i < std::min(voters.size(), kMaxListedVoters); ++i) {
    if (i > 0) text.append(",");
    text.append(voters[i].host.value()).append("=").append(DescribeAge(voters[i].age));
  }
  if (voters.size() > kMaxListedVoters) {
    text.append(",+").append(std::to_string(voters.size() - kMaxListedVoters));
  }
  return text;
}

std::string DescribeRound(kernel::heartbeat_round round) {
  constexpr int kCounterBits = 32;
  const std::uint64_t term = round.value() >> kCounterBits;
  const std::uint64_t counter = round.value() & ((std::uint64_t{1} << kCounterBits) - 1);
  return std::to_string(term).append(":").append(std::to_string(counter));
}

std::string DescribeAge(const std::optional<kernel::microseconds>& age) {
  return age ? std::to_string(kernel::ToMilliseconds(*age).count()) : "none";
}

}  // namespace cornelweir::plugins::control
