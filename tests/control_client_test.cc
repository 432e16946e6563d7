// Tests what a daemon logs about control hosts that are silent or not current.

#include "plugins/sidecar/control_client.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/codec.h"
#include "plugins/sidecar/control_outage.h"
#include "tests/http_test_support.h"
#include "tests/logged_lines.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr int kControlHostLost = 3011;
constexpr int kNoHostCurrent = 3018;

void ExpectFields(const std::string& line, const std::vector<std::string>& fields) {
  for (const std::string& field : fields) {
    EXPECT_NE((line + " ").find(" " + field + " "), std::string::npos) << field << " in " << line;
  }
}

// The number that a field of a line states.
std::int64_t NumberIn(const std::string& line, const std::string& field) {
  const std::size_t at = line.find(" " + field + "=");
  return at != std::string::npos ? std::stoll(line.substr(at + field.size() + 2)) : -1;
}

// A control host that accepts links and sends its state, or nothing.
class host_stand_in {
 public:
  explicit host_stand_in(loop::event_loop& loop) : heartbeat_(loop) {
    transport::link_handlers handlers;
    handlers.message = [this](const std::shared_ptr<transport::link>& link, std::string_view) {
      links_.insert(link);
    };
    handlers.closed = [this](const std::shared_ptr<transport::link>& link, const std::string&) {
      links_.erase(link);
    };
    auto opened = transport::listener::Open(loop.context(), kernel::endpoint("127.0.0.1:0"),
                                            nullptr, std::move(handlers));
    EXPECT_TRUE(opened);
    listener_ = opened.value();
    heartbeat_.StartPeriodic(protocol::kFleetHeartbeatPeriod, [this] { Send(); });
  }

  kernel::endpoint endpoint() const { return listener_->local_endpoint(); }

  // What the host sends. Empty if it is silent.
  std::optional<protocol::fleet_update> update;

 private:
  void Send() {
    if (!update) return;
    const std::string message = codec::Encode(protocol::fleet_message{*update});
    for (const auto& link : links_) link->Send(message);
  }

  loop::timer heartbeat_;
  std::shared_ptr<transport::listener> listener_;
  std::set<std::shared_ptr<transport::link>> links_;
};

// NOLINTNEXTLINE(readability-identifier-naming)
class ControlClientTest : public testing::Test {
 protected:
  ControlClientTest() {
    pause_timer_.StartPeriodic(loop::pause_tracker::kTickPeriod,
                               [this] { daemon_.pauses.Tick(daemon_.clock.Now()); });
    const std::string& seed = host_.endpoint().value();
    daemon_.settings.sidecar->seeds = {host_.endpoint()};
    daemon_.settings.sidecar->control_port = std::stoll(seed.substr(seed.rfind(':') + 1));
    client_.emplace(daemon_.context,
                    control_client::handlers{
                        .policy_changed = [] {},
                        .policy_confirmed = [](kernel::time_point) {},
                        .roster_changed = [] {},
                        .service = [] { return kernel::service_name("forms"); },
                        .last_upstream = [] { return std::nullopt; },
                        .upstream_restored = [](const membership::announced_upstream&) {},
                        .rollouts_received = [](const std::vector<rollout::rollout_record>&) {},
                        .rollouts_revision = [] { return kernel::rollout_revision(); },
                        .confirmed = [this] { ++confirmations_; }});
  }

  // Runs the loop until there is such a line more, and returns it.
  std::string NextLine(int event) {
    const std::size_t known = lines_.WithEvent(event).size();
    http::RunUntil(daemon_.loop, [&] { return lines_.WithEvent(event).size() > known; });
    return lines_.WithEvent(event).back();
  }

  logging::logged_lines lines_;
  sidecar_test_context daemon_;
  loop::timer pause_timer_{daemon_.loop};
  host_stand_in host_{daemon_.loop};
  std::optional<control_client> client_;
  int confirmations_ = 0;
};

// Guards against one reason for two states: a host that sends nothing, and one that sends that it
// is not current.
TEST_F(ControlClientTest, TellsASilentHostFromOneThatIsNotCurrent) {
  client_->Start();
  ExpectFields(NextLine(kControlHostLost), {"reason=silent", "update_ms=none", "confirmed_ms=none",
                                            "host_reason=none", "host_silent_ms=none"});

  host_.update.emplace();
  host_.update->not_current =
      protocol::currency_report{protocol::currency_state::kNoLeader, kernel::milliseconds(61'000)};
  // The link that is open now may have been silent for its first part.
  NextLine(kControlHostLost);
  const std::string not_current = NextLine(kControlHostLost);
  ExpectFields(not_current, {"reason=\"not current\"", "confirmed_ms=none", "host_reason=no-leader",
                             "host_silent_ms=61000"});
  EXPECT_GE(NumberIn(not_current, "bytes_ms"), 0);
  EXPECT_GE(NumberIn(not_current, "update_ms"), 0);

  host_.update->not_current.reset();
  NextLine(kControlHostLost);
  ExpectFields(NextLine(kControlHostLost),
               {"reason=\"not current\"", "host_reason=none", "host_silent_ms=none"});
}

// Guards against an outage of the whole control group that only a reader of all logs can see.
TEST_F(ControlClientTest, LogsThatNoHostIsCurrentAndWhenOneIsAgain) {
  host_.update.emplace();
  host_.update->not_current =
      protocol::currency_report{protocol::currency_state::kNotConfirmed, std::nullopt};
  client_->Start();
  const std::string outage = NextLine(kNoHostCurrent);
  ExpectFields(outage, {"current=0", "unreachable=0", "closed=0"});
  EXPECT_GE(NumberIn(outage, "not_current"), 1);
  EXPECT_NE(outage.find("host_reasons=not-confirmed="), std::string::npos) << outage;
  EXPECT_EQ(confirmations_, 0);

  host_.update->leader_confirmed = true;
  host_.update->not_current.reset();
  const std::string end = NextLine(kNoHostCurrent);
  ExpectFields(end, {"current=1"});
  EXPECT_GE(NumberIn(end, "outage_ms"), NumberIn(outage, "outage_ms"));
}

// Guards against a line of each daemon for each link that it tries, and against an outage whose
// counts contain those of an earlier one.
TEST(ControlOutage, IsLoggedAfterThreeSecondsAndThenOnceEveryThirty) {
  const logging::logged_lines lines;
  kernel::manual_clock clock;
  control_outage outage;
  outage.Start(clock.Now());
  const protocol::currency_report no_leader{protocol::currency_state::kNoLeader, std::nullopt};
  for (int passed = 0; passed < 66'000; passed += 1'000) {
    outage.Tick(clock.Now());
    outage.OnLinkEnded(control_link_end::kNotCurrent, no_leader);
    clock.Advance(kernel::milliseconds(1'000));
  }
  ASSERT_EQ(lines.WithEvent(kNoHostCurrent).size(), 3U);
  ExpectFields(lines.WithEvent(kNoHostCurrent).front(),
               {"current=0", "outage_ms=3000", "not_current=3", "host_reasons=no-leader=3"});
  EXPECT_EQ(outage.SinceConfirmed(clock.Now()), kernel::milliseconds(66'000));

  outage.OnConfirmed(clock.Now());
  outage.OnConfirmed(clock.Now());
  ASSERT_EQ(lines.WithEvent(kNoHostCurrent).size(), 4U);
  ExpectFields(lines.WithEvent(kNoHostCurrent).back(), {"current=1", "outage_ms=66000"});

  clock.Advance(kernel::milliseconds(2'000));
  outage.OnLinkEnded(control_link_end::kSilent, std::nullopt);
  outage.Tick(clock.Now());
  outage.OnConfirmed(clock.Now());
  ASSERT_EQ(lines.WithEvent(kNoHostCurrent).size(), 4U) << "a short outage is not logged";
  outage.OnLinkEnded(control_link_end::kUnreachable, std::nullopt);
  clock.Advance(kernel::milliseconds(3'000));
  outage.Tick(clock.Now());
  ASSERT_EQ(lines.WithEvent(kNoHostCurrent).size(), 5U);
  ExpectFields(lines.WithEvent(kNoHostCurrent).back(),
               {"unreachable=1", "silent=0", "not_current=0", "host_reasons=none"});
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
