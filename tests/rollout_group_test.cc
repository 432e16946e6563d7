// Tests that several control hosts know the same rollout after some of them are lost.

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "plugins/control/control_plugin.h"
#include "tests/http_test_support.h"
#include "tests/policy_submission_of.h"

namespace cornelweir::plugins::control {
namespace {

const kernel::service_name kService("forms");
constexpr kernel::milliseconds kDuration{60'000};
constexpr std::size_t kHosts = 5;

// One control host with its data in a temporary folder.
struct group_host {
  explicit group_host(loop::event_loop& event_loop, std::uint64_t seed)
      : loop(event_loop), admin(event_loop), random(seed), acceptor(event_loop.context()) {
    std::string pattern = testing::TempDir() + "control-group-XXXXXX";
    folder = ::mkdtemp(pattern.data());
    // Keeps the port until all hosts know each other's.
    acceptor = {event_loop.context(), {boost::asio::ip::address_v4::loopback(), 0}};
  }
  ~group_host() {
    plugin.reset();
    std::filesystem::remove_all(folder);
  }

  void Start() {
    if (acceptor.is_open()) acceptor.close();
    auto created = control_plugin::Create(context);
    ASSERT_TRUE(created);
    plugin = created.value();
    plugin->Start();
  }
  // The group is not told. Its links must be closed before the host is destroyed.
  void Stop() {
    bool done = false;
    plugin->BeginShutdown([&] { done = true; });
    http::RunUntil(loop, [&] { return done; });
    loop.context().poll();
    plugin.reset();
  }
  void LoseDisk() {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directory(folder);
    settings.control->bootstrap = false;
  }

  loop::event_loop& loop;
  std::string folder;
  settings::daemon_settings settings;
  http::admin_server admin;
  metrics::metrics_registry metrics;
  kernel::seeded_random random;
  kernel::steady_clock_source clock;
  loop::pause_tracker pauses{clock.Now()};
  boost::asio::ip::tcp::acceptor acceptor;
  daemon_context context{loop, settings, admin, metrics, random, clock, pauses, nullptr};
  std::shared_ptr<control_plugin> plugin;
};

// NOLINTNEXTLINE(readability-identifier-naming)
class RolloutGroupTest : public ::testing::Test {
 protected:
  RolloutGroupTest() {
    std::vector<settings::control_peer> peers;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<group_host>(loop_, i + 1));
      const kernel::endpoint mesh("127.0.0.1:" +
                                  std::to_string(hosts_[i]->acceptor.local_endpoint().port()));
      peers.push_back({kernel::host_id(mesh.value()), mesh, {}});
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      settings::daemon_settings& settings = hosts_[i]->settings;
      settings.host = peers[i].host;
      settings.admin_listen = kernel::endpoint("127.0.0.1:0");
      settings.control.emplace();
      settings.control->data_folder = hosts_[i]->folder;
      settings.control->mesh_listen = peers[i].mesh;
      settings.control->peers = peers;
      settings.control->bootstrap = true;
      settings.control->stable_inodes = false;
      settings.control->tolerated_losses = 2;
    }
    ticks_.StartPeriodic(loop::pause_tracker::kTickPeriod, [this] {
      for (const auto& host : hosts_) host->pauses.Tick(host->clock.Now());
    });
    for (const auto& host : hosts_) host->Start();
    policy::policy_table table;
    table.version = kernel::policy_version(1);
    table.services = {{kService, "/health", 1, "h1", false}};
    std::optional<policy_answer> answer = policy_answer::kUnknown;
    while (answer == policy_answer::kUnknown) {
      answer.reset();
      Leader().context.policy.replace(kernel::policy_version(), SubmissionOf(table),
                                      [&](policy_answer decided) { answer = decided; });
      http::RunUntil(loop_, [&] { return answer.has_value(); });
    }
  }

  // The host that leads the group, once there is one.
  group_host& Leader() {
    group_host* leader = nullptr;
    http::RunUntil(loop_, [&] {
      for (const auto& host : hosts_) {
        const bool leads = host->plugin && host->plugin->local_replica().node().IsLeader();
        if (leads) leader = host.get();
      }
      return leader != nullptr;
    });
    return *leader;
  }

  // Sends the order to the host until its outcome is known.
  rollout_answer Order(group_host& host, const char* version) {
    std::optional<rollout_answer> answer = rollout_answer::kUnknown;
    while (answer == rollout_answer::kUnknown) {
      answer.reset();
      host.context.rollouts.start({kService, kernel::software_version(version), kDuration},
                                  [&](rollout_answer decided) { answer = decided; });
      http::RunUntil(loop_, [&] { return answer.has_value(); });
    }
    return *answer;
  }

  rollout::rollout_record Read(group_host& host) {
    std::optional<rollout_status> status = rollout_status{};
    while (!status->is_current) {
      status.reset();
      host.context.rollouts.read(kService, [&](const rollout_status& read) { status = read; });
      http::RunUntil(loop_, [&] { return status.has_value(); });
    }
    return status->record.value_or(rollout::rollout_record{});
  }

  void Advance(std::int64_t share, rollout::rollout_state state) {
    group_host& leader = Leader();
    const kernel::rollout_revision started = Read(leader).started;
    bool done = false;
    leader.plugin->Submit(
        cornelweir::control::advance_rollout_command{kService, started,
                                                     kernel::traffic_share(share), state},
        [&](const auto&) { done = true; });
    http::RunUntil(loop_, [&] { return done; });
  }

  loop::event_loop loop_;
  loop::timer ticks_{loop_};
  std::vector<std::unique_ptr<group_host>> hosts_;
};

// Guards against a new leader that forgets a rollout or goes back a step, an order that is refused
// when it is sent again to another host, and a second rollout beside one that runs.
TEST_F(RolloutGroupTest, KnowsTheRolloutAfterTheLeaderChangedInEachPhase) {
  using rollout::rollout_state;
  ASSERT_EQ(Order(*hosts_[0], "v2"), rollout_answer::kAccepted);
  const std::vector<std::pair<std::int64_t, rollout_state>> phases{
      {rollout::kCanaryShare.value(), rollout_state::kRunning},
      {250, rollout_state::kRunning},
      {500, rollout_state::kRunning},
      {1'000, rollout_state::kRunning},
      {1'000, rollout_state::kCompleted}};
  for (const auto& [share, state] : phases) {
    SCOPED_TRACE(share);
    if (share > Read(Leader()).share.value()) Advance(share, state);
    const rollout::rollout_record before = Read(Leader());
    group_host& lost = Leader();
    lost.Stop();
    for (const auto& host : hosts_) {
      if (!host->plugin) continue;
      const rollout::rollout_record record = Read(*host);
      EXPECT_EQ(record.started, before.started);
      EXPECT_EQ(record.share, before.share);
      EXPECT_EQ(Order(*host, "v2"), rollout_answer::kAccepted);
      // Without daemons, the last step is over after kStepTime.
      if (share < 1'000) {
        EXPECT_EQ(Order(*host, "v3"), rollout_answer::kConflict);
      }
    }
    lost.Start();
  }
}

// Guards against a bad version that a new leader starts again or takes for running.
TEST_F(RolloutGroupTest, KnowsTheVerdictAfterTheLeaderChanged) {
  ASSERT_EQ(Order(*hosts_[0], "v2"), rollout_answer::kAccepted);
  Advance(0, rollout::rollout_state::kRolledBack);
  Leader().Stop();
  for (const auto& host : hosts_) {
    if (!host->plugin) continue;
    EXPECT_EQ(Order(*host, "v2"), rollout_answer::kAccepted);
    EXPECT_EQ(Read(*host).state, rollout::rollout_state::kRolledBack);
  }
  EXPECT_EQ(Order(Leader(), "v3"), rollout_answer::kAccepted);
}

// Guards against an order that was answered and is unknown after the leader and another host lost
// their disks at once.
TEST_F(RolloutGroupTest, KnowsTheOrderAfterTwoDisksWereLost) {
  group_host& leader = Leader();
  ASSERT_EQ(Order(leader, "v2"), rollout_answer::kAccepted);
  group_host& other = *hosts_[leader.folder == hosts_[0]->folder ? 1 : 0];
  for (group_host* lost : {&leader, &other}) lost->Stop();
  for (group_host* lost : {&leader, &other}) lost->LoseDisk();
  for (group_host* lost : {&leader, &other}) lost->Start();
  for (const auto& host : hosts_) {
    if (host.get() == &leader || host.get() == &other) continue;
    EXPECT_EQ(Read(*host).target, kernel::software_version("v2"));
    EXPECT_EQ(Order(*host, "v2"), rollout_answer::kAccepted);
    EXPECT_EQ(Order(*host, "v3"), rollout_answer::kConflict);
  }
}

}  // namespace
}  // namespace cornelweir::plugins::control
