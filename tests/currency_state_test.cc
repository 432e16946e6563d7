// Tests the decision whether a control host is current, and how daemons are told the reason.

#include "cornelweir/src/protocol/currency_state.h"

#include <gtest/gtest.h>

#include <set>
#include <string_view>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/protocol.h"
#include "cornelweir/src/codec/direct_cbor.h"

namespace cornelweir::protocol {
namespace {

constexpr kernel::milliseconds kLimit{500};

currency_facts CurrentHost() {
  currency_facts facts;
  facts.has_policy = true;
  facts.knows_leader = true;
  facts.has_applied_all = true;
  facts.confirmed_age = kernel::milliseconds(499);
  return facts;
}

// Guards against a host that claims to be current without each of the facts that prove it.
TEST(CurrencyState, NamesTheFactThatIsMissing) {
  EXPECT_EQ(DecideCurrency(CurrentHost(), kLimit), currency_state::kCurrent);

  currency_facts facts = CurrentHost();
  facts.has_policy = false;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNoPolicy);

  facts = CurrentHost();
  facts.has_applied_all = false;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kEntriesNotApplied);

  facts = CurrentHost();
  facts.confirmed_age = kLimit;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNotConfirmed);
  facts.confirmed_age.reset();
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNotConfirmed);

  facts = CurrentHost();
  facts.is_read_proved = false;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kReadNotProved);
}

// Guards against daemons that leave a host during an ordinary change of the leader.
TEST(CurrencyState, IsCurrentUntilTheLastRoundIsTooOld) {
  currency_facts facts = CurrentHost();
  facts.knows_leader = false;
  facts.is_storage_healthy = false;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kCurrent);
  facts.confirmed_age = kLimit;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kStorageFailing);
}

// Guards against a reason that is only the consequence of another one, such as "no policy" on a
// host that no leader has sent one.
TEST(CurrencyState, NamesTheCauseBeforeItsConsequences) {
  currency_facts facts;
  facts.is_storage_healthy = false;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kStorageFailing);
  facts.is_storage_healthy = true;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNoLeader);
  facts.knows_leader = true;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNotConfirmed);
  facts.confirmed_age = kernel::milliseconds(0);
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kEntriesNotApplied);
  facts.has_applied_all = true;
  EXPECT_EQ(DecideCurrency(facts, kLimit), currency_state::kNoPolicy);
}

// Guards against two reasons that logs can't tell apart, and against a number of a later version
// that ends an older daemon.
TEST(CurrencyState, HasADifferentNameForEachState) {
  std::set<std::string_view> names;
  for (const currency_state state : kCurrencyStates) names.insert(CurrencyStateName(state));
  EXPECT_EQ(names.size(), kCurrencyStates.size());
  EXPECT_FALSE(names.contains("unknown"));
  EXPECT_EQ(CurrencyStateName(static_cast<currency_state>(200)), "unknown");
}

// The members of a fleet_update that daemons knew before it told the reason.
struct earlier_fleet_update {
  static constexpr std::string_view kType = "fleet_update";

  bool leader_confirmed = false;
  kernel::policy_version newest_policy;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"current", &earlier_fleet_update::leader_confirmed},
                      kernel::field{"newest", &earlier_fleet_update::newest_policy}};
  }
};

// Guards against daemons and hosts of different versions that don't understand each other.
TEST(CurrencyState, TravelsInAnUpdateThatEarlierDaemonsUnderstand) {
  fleet_update sent;
  sent.newest_policy = kernel::policy_version(5);
  sent.not_current = currency_report{currency_state::kNoLeader, kernel::milliseconds(1'200)};
  const std::string bytes = codec::Encode(fleet_message{sent});
  const auto received = codec::DecodeDirectly<fleet_message>(bytes, codec::kMaxMessageBytes);
  ASSERT_TRUE(received);
  EXPECT_EQ(std::get<fleet_update>(received.value()).not_current, sent.not_current);

  using earlier_message = std::variant<earlier_fleet_update, quota::quota_grant>;
  const auto by_earlier = codec::DecodeDirectly<earlier_message>(bytes, codec::kMaxMessageBytes);
  ASSERT_TRUE(by_earlier);
  EXPECT_EQ(std::get<earlier_fleet_update>(by_earlier.value()).newest_policy,
            kernel::policy_version(5));

  const earlier_message earlier{earlier_fleet_update{false, kernel::policy_version(6)}};
  const auto from_earlier =
      codec::DecodeDirectly<fleet_message>(codec::EncodeDirectly(earlier), codec::kMaxMessageBytes);
  ASSERT_TRUE(from_earlier);
  EXPECT_FALSE(std::get<fleet_update>(from_earlier.value()).not_current);
}

}  // namespace
}  // namespace cornelweir::protocol
