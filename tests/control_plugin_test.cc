// Tests a control host that is paused or stopped while it serves daemons and operators.

#include "plugins/control/control_plugin.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "cornelweir/src/codec/sha256.h"
#include "plugins/greeting.h"
#include "tests/control_host_test.h"
#include "tests/logged_lines.h"
#include "tests/policy_submission_of.h"

namespace cornelweir::plugins::control {
namespace {

// Makes each write to a file fail while it exists, as on a full disk.
class full_disk {
 public:
  full_disk() {
    ::getrlimit(RLIMIT_FSIZE, &previous_);
    struct rlimit limited = previous_;
    limited.rlim_cur = 0;
    previous_handler_ = std::signal(SIGXFSZ, SIG_IGN);
    ::setrlimit(RLIMIT_FSIZE, &limited);
  }
  ~full_disk() {
    ::setrlimit(RLIMIT_FSIZE, &previous_);
    std::signal(SIGXFSZ, previous_handler_);
  }
  full_disk(const full_disk&) = delete;
  full_disk& operator=(const full_disk&) = delete;

 private:
  struct rlimit previous_ {};
  void (*previous_handler_)(int) = nullptr;
};

// A control host, and a link of a daemon to it.
// NOLINTNEXTLINE(readability-identifier-naming)
class ControlPluginTest : public ControlHostTest {
 protected:
  ~ControlPluginTest() override { plugin_.reset(); }

  void Replace(std::uint64_t version, std::uint64_t base = 0) {
    policy::policy_table table;
    table.version = kernel::policy_version(version);
    policy::workspace orion;
    orion.name = kernel::workspace_id("orion");
    // So high that the bucket holds a token as soon as the leader may issue.
    orion.rate = kernel::request_rate(10'000'000);
    table.workspaces.push_back(orion);
    Replace(table, kernel::policy_version(base));
  }
  // A policy with random keys, which can't be compressed.
  policy::policy_table LargePolicy(int routes, int workspaces) {
    policy::policy_table table;
    table.version = kernel::policy_version(static_cast<std::uint64_t>(routes));
    policy::service service;
    service.name = kernel::service_name("archive");
    table.services = {service};
    for (int i = 0; i < routes; ++i) {
      const std::string number = std::to_string(i);
      policy::route route;
      route.name = kernel::route_name("route-" + number);
      route.host = "host-" + std::to_string(i % 50) + ".example";
      route.path_prefix = "/prefix/" + number + "/";
      route.service = service.name;
      table.routes.push_back(route);
    }
    for (int i = 0; i < workspaces; ++i) {
      std::string key;
      for (int word = 0; word < 5; ++word) key += std::to_string(random_.NextU64());
      policy::workspace workspace;
      workspace.name = kernel::workspace_id("workspace-" + std::to_string(i));
      workspace.keys = {kernel::api_key(key)};
      table.workspaces.push_back(workspace);
    }
    return table;
  }

  // Starts a host of a group of three, without the others, on a new data folder.
  void StartLoneHostOfThree() {
    bool stopped = false;
    plugin_->BeginShutdown([&] { stopped = true; });
    http::RunUntil(loop_, [&] { return stopped; });
    plugin_.reset();
    settings_.control->data_folder = folder_ + "/of-three";
    settings_.control->peers = {{settings_.host, {}, {}},
                                {kernel::host_id("b"), kernel::endpoint("127.0.0.1:1"), {}},
                                {kernel::host_id("c"), kernel::endpoint("127.0.0.1:1"), {}}};
    auto created = control_plugin::Create(context_);
    ASSERT_TRUE(created);
    plugin_ = created.value();
    plugin_->Start();
  }

  void Replace(const policy::policy_table& table, kernel::policy_version base = {}) {
    answer_.reset();
    context_.policy.replace(base, SubmissionOf(table),
                            [this](policy_answer answer) { answer_ = answer; });
  }

  // Connects as a sidecar daemon and reports that it enforces no policy.
  void ConnectDaemon() {
    transport::link_handlers handlers;
    handlers.opened = [](const std::shared_ptr<transport::link>& link) {
      const protocol::report_message greeting =
          Greeting(protocol::process_role::kSidecar, kernel::host_id("daemon"));
      link->Send(codec::Encode(greeting));
      protocol::daemon_report report;
      report.self.daemon = kernel::endpoint("127.0.0.1:9");
      report.self.service = kernel::service_name("forms");
      report.self.incarnation = kernel::incarnation(1);
      report.self.sequence = 1;
      link->Send(codec::Encode(protocol::report_message{report}));
    };
    handlers.message = [this](const std::shared_ptr<transport::link>&, std::string_view payload) {
      const auto message = codec::Decode<protocol::fleet_message>(payload);
      ASSERT_TRUE(message);
      if (const auto* grant = std::get_if<quota::quota_grant>(&message.value())) {
        grant_ = *grant;
        return;
      }
      const auto* update = std::get_if<protocol::fleet_update>(&message.value());
      ASSERT_NE(update, nullptr);
      ++(update->leader_confirmed ? confirmed_updates_ : unconfirmed_updates_);
      not_current_ = update->not_current;
      if (update->quarantined) quarantined_ = update->quarantined;
      if (update->policy_part) {
        if (const auto whole = parts_.Add(*update->policy_part)) received_delta_ = *whole;
      } else if (!update->policy_delta.bytes.empty()) {
        received_delta_ = update->policy_delta.bytes;
      }
    };
    link_ = transport::link::Connect(loop_.context(), plugin_->mesh_endpoint(), nullptr,
                                     std::move(handlers));
  }

  std::shared_ptr<transport::link> link_;
  std::optional<policy_answer> answer_;
  protocol::part_assembler parts_;
  // The encoded and deflated policy_delta that the daemon received.
  std::string received_delta_;
  std::optional<quota::quota_grant> grant_;
  std::optional<std::vector<quarantine::quarantined_fingerprint>> quarantined_;
  // The reason of the last update, if it told one.
  std::optional<protocol::currency_report> not_current_;
  int confirmed_updates_ = 0;
  int unconfirmed_updates_ = 0;
};

// Guards against a control host that was paused and tells a daemon that its policy is the newest:
// what it has heard may be as old as the pause.
TEST_F(ControlPluginTest, IsNotCurrentRightAfterAPause) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ASSERT_EQ(*answer_, policy_answer::kAccepted);
  ticking_ = false;
  pauses_ = loop::pause_tracker(clock_.Now() - std::chrono::seconds(5));
  loop::timer later(loop_);
  bool confirmation_expired = false;
  later.Start(protocol::kMaxConfirmationAge, [&] { confirmation_expired = true; });
  http::RunUntil(loop_, [&] { return confirmation_expired; });
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return unconfirmed_updates_ >= 3; });
  EXPECT_EQ(confirmed_updates_, 0);
  ticking_ = true;
  http::RunUntil(loop_, [this] { return confirmed_updates_ > 0; });
}

// Guards against daemons that leave a host for a reason that neither they nor the host can name.
TEST_F(ControlPluginTest, TellsThatItHasNoLeaderAndWhichVotersItHears) {
  StartLoneHostOfThree();
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return not_current_.has_value(); });
  EXPECT_EQ(not_current_->state, protocol::currency_state::kNoLeader);
  EXPECT_EQ(not_current_->confirmed_age, std::nullopt);
  EXPECT_EQ(confirmed_updates_, 0);

  // A message of a voter counts as contact, whatever it says.
  replication::envelope message{kernel::host_id("c"), settings_.host,
                                replication::read_index{kernel::nonce(1)}};
  plugin_->local_replica().Receive(message);
  const codec::json status = plugin_->StatusReport();
  const codec::json& currency = status["currency"];
  EXPECT_EQ(currency["state"], "no-leader");
  EXPECT_EQ(currency["voters"], 3);
  EXPECT_EQ(currency["heard"], 2);
  EXPECT_EQ(currency["round"], "0:0");
  EXPECT_EQ(currency["silent_ms"], nullptr);
  ASSERT_EQ(status["voters"].size(), 3U);
  EXPECT_EQ(status["voters"][0], (codec::json{{"host", "a"}, {"silent_ms", 0}}));
  EXPECT_EQ(status["voters"][1], (codec::json{{"host", "b"}, {"silent_ms", nullptr}}));
  EXPECT_EQ(status["voters"][2]["host"], "c");
  EXPECT_GE(status["voters"][2]["silent_ms"], 0);
}

// Guards against a status that shows no voters because the settings name none, and against a host
// that is said to be current before it has a policy.
TEST_F(ControlPluginTest, ShowsItsStateWithoutPeersInTheSettings) {
  settings_.control->peers.clear();
  ConnectDaemon();
  http::RunUntil(loop_, [this] {
    return not_current_ && not_current_->state == protocol::currency_state::kNoPolicy;
  });
  EXPECT_EQ(plugin_->StatusReport()["currency"]["state"], "no-policy");
  Replace(5);
  http::RunUntil(loop_, [this] { return confirmed_updates_ > 0; });
  const codec::json status = plugin_->StatusReport();
  EXPECT_EQ(status["currency"]["state"], "current");
  EXPECT_EQ(status["currency"]["role"], "leader");
  EXPECT_EQ(status["currency"]["outage_ms"], nullptr);
  EXPECT_LT(status["currency"]["silent_ms"], 500);
  EXPECT_GE(status["currency"]["sync_ms"], 0);
  EXPECT_EQ(status["voters"], codec::json::parse(R"([{"host": "a", "silent_ms": 0}])"));
  EXPECT_EQ(not_current_, std::nullopt);

  http::RunUntil(loop_, [this] {
    return metrics_.Render().find("cornelweir_control_currency{state=\"current\"} 1") !=
           std::string::npos;
  });
  const std::string metrics = metrics_.Render();
  for (const char* series :
       {"cornelweir_control_currency{state=\"no-leader\"} 0",
        "cornelweir_control_role{role=\"leader\"} 1", "cornelweir_control_voters 1",
        "cornelweir_control_voters_heard 1", "cornelweir_control_confirmed_age_seconds ",
        "cornelweir_storage_sync_seconds "}) {
    EXPECT_NE(metrics.find(series), std::string::npos) << series << "\n" << metrics;
  }
}

// Guards against a fault of the disk that looks like a fault of the group.
TEST_F(ControlPluginTest, TellsThatItsStorageFails) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return confirmed_updates_ > 0; });
  const logging::logged_lines lines;
  const full_disk full;
  Replace(6, 5);
  http::RunUntil(loop_, [this] { return not_current_.has_value(); });
  EXPECT_EQ(not_current_->state, protocol::currency_state::kStorageFailing);
  EXPECT_TRUE(not_current_->confirmed_age) << "the host was current before";
  EXPECT_EQ(plugin_->StatusReport()["currency"]["state"], "storage-failing");
  http::RunUntil(loop_, [&] { return !lines.WithEvent(2011).empty(); });
  const std::string line = lines.WithEvent(2011).back();
  for (const char* field : {"current=0", "reason=storage-failing", "voters=1"}) {
    EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
  }
}

// Guards against a log that can't tell why a host was not current, or that a lasting state fills.
TEST_F(ControlPluginTest, LogsWhyItIsNotCurrent) {
  StartLoneHostOfThree();
  const logging::logged_lines lines;
  http::RunUntil(loop_, [&] { return !lines.WithEvent(2018).empty(); });
  EXPECT_TRUE(lines.WithEvent(2011).empty()) << "it was never current";
  const std::string line = lines.WithEvent(2018).front();
  for (const char* field :
       {"reason=no-leader", "role=pre-candidate", "term=0", "voters=a=0,b=none,c=none", "heard=1",
        "round=0:0", "silent_ms=none", "storage=healthy"}) {
    EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
  }
}

// Guards against a quarantine that is lost with the daemons that decided it, that reaches daemons
// of other services, and that no operator can end.
TEST_F(ControlPluginTest, KeepsAndReleasesAQuarantineThatADaemonReported) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return quarantined_.has_value(); });
  EXPECT_TRUE(quarantined_->empty()) << "a daemon that starts waits for the list";
  const auto report = [this](std::uint64_t request, const char* service) {
    const protocol::quarantine_report message{
        kernel::fingerprint(request), kernel::service_name(service), {}};
    link_->Send(codec::Encode(protocol::report_message{message}));
  };
  report(6, "trips");
  report(7, "forms");
  http::RunUntil(loop_, [this] { return !quarantined_->empty(); });
  ASSERT_EQ(quarantined_->size(), 1U);
  EXPECT_EQ(quarantined_->front().request, kernel::fingerprint(7));
  EXPECT_EQ(plugin_->local_replica().machine().crashes().Quarantined().size(), 2U);

  plugin_->Submit(cornelweir::control::release_quarantine_command{kernel::change_id("c1"),
                                                                  kernel::fingerprint(7)},
                  [](const auto&) {});
  http::RunUntil(loop_, [this] { return quarantined_->empty(); });
}

// Guards against an interface without authentication that shows keys, and against a stale policy.
TEST_F(ControlPluginTest, ShowsThePolicyInForceWithoutKeys) {
  ASSERT_TRUE(admin_.Listen(settings_.admin_listen));
  http::admin_client client(loop_);
  const auto get = [&](std::string_view target) {
    std::string body;
    client.Request(admin_.local_endpoint(), http::method::get, target, "", std::chrono::seconds(30),
                   [&](const http::http_result<http::client_response>& result) {
                     body = result.value().body;
                   });
    http::RunUntil(loop_, [&] { return !body.empty(); });
    return body;
  };
  for (const int version : {3, 4}) {
    const policy::policy_table table = LargePolicy(version, 1);
    Replace(table, kernel::policy_version(version == 4 ? 3 : 0));
    http::RunUntil(loop_, [this] { return answer_.has_value(); });
    const std::string body = get("/v1/policy");
    const std::string& key = table.workspaces[0].keys[0].value();
    EXPECT_EQ(body.find(key), std::string::npos);
    EXPECT_NE(body.find(codec::Sha256Hex(key)), std::string::npos);
    EXPECT_EQ(codec::json::parse(body)["version"], version);
  }
  EXPECT_EQ(get("/v1/services"), "{\"services\":[]}\n");
}

// Guards against daemons that get no tokens from the leader, or tokens for a workspace that the
// policy does not contain.
TEST_F(ControlPluginTest, IssuesTokensByThePolicy) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return confirmed_updates_ > 0; });
  const quota::quota_request request{kernel::nonce(9),
                                     {{kernel::workspace_id("orion"), kernel::request_count(1)},
                                      {kernel::workspace_id("gone"), kernel::request_count(1)}}};
  // The leader drops a request that it could not answer in time, and the daemon asks again.
  const auto ask = [&] { link_->Send(codec::Encode(protocol::report_message{request})); };
  loop::timer ask_again(loop_);
  ask_again.StartPeriodic(quota::kGrantTimeout, ask);
  ask();
  http::RunUntil(loop_, [this] { return grant_.has_value(); });
  EXPECT_EQ(grant_->nonce, request.nonce);
  ASSERT_EQ(grant_->entries.size(), 2U);
  EXPECT_EQ(grant_->entries[0].granted, kernel::request_count(1));
  EXPECT_GT(grant_->entries[0].lifetime, kernel::milliseconds(0));
  EXPECT_EQ(grant_->entries[1].granted, kernel::request_count(0));
  EXPECT_GT(grant_->entries[1].next_in, kernel::milliseconds(0));
}

// Guards against an operator who gets no answer to a change that was accepted just before the stop,
// and against a process that waits for that answer until it is killed.
TEST_F(ControlPluginTest, AnswersAChangeInProgressBeforeItStops) {
  bool stopped = false;
  Replace(5);
  plugin_->BeginShutdown([&] { stopped = true; });
  http::RunUntil(loop_, [&] { return stopped; });
  ASSERT_TRUE(answer_);
  EXPECT_EQ(*answer_, policy_answer::kAccepted);
}

// Guards against a process that waits until it is killed for the answer to a change that arrived
// after the host had left the group.
TEST_F(ControlPluginTest, AnswersAChangeAfterItHasStopped) {
  bool stopped = false;
  plugin_->BeginShutdown([&] { stopped = true; });
  http::RunUntil(loop_, [&] { return stopped; });
  Replace(5);
  ASSERT_TRUE(answer_);
  EXPECT_EQ(*answer_, policy_answer::kUnknown);
}

// Guards against a large policy that no entry of the log, no message to a daemon or no decoder can
// hold, so that it is never accepted or is lost when a host restarts.
TEST_F(ControlPluginTest, AcceptsAndKeepsTheLargestPolicy) {
  for (const int routes : {6'000, 20'000}) {
    const policy::policy_table table = LargePolicy(routes, routes / 2);
    const kernel::policy_version base =
        plugin_->local_replica().machine().policy().current()->version;
    Replace(table, base);
    http::RunUntil(loop_, [this] { return answer_.has_value(); });
    ASSERT_EQ(*answer_, policy_answer::kAccepted);
    EXPECT_EQ(*plugin_->local_replica().machine().policy().current(), table);
  }
  const policy::policy_table newest = *plugin_->local_replica().machine().policy().current();
  ConnectDaemon();
  http::RunUntil(loop_, [this] { return !received_delta_.empty(); });
  const auto bytes = codec::Inflate(received_delta_, codec::kMaxStateBytes);
  ASSERT_TRUE(bytes);
  const auto delta = codec::Decode<policy::policy_delta>(bytes.value(), codec::kMaxStateBytes);
  ASSERT_TRUE(delta);
  EXPECT_EQ(policy::Apply(policy::policy_table(), delta.value()), newest);

  replica& local = plugin_->local_replica();
  const auto snapshot = codec::DecodeDirectly<cornelweir::control::state_snapshot>(
      codec::Encode(local.machine().Snapshot()), codec::kMaxStateBytes);
  ASSERT_TRUE(snapshot);
  cornelweir::control::state_machine restored;
  restored.Restore(snapshot.value());
  EXPECT_EQ(*restored.policy().current(), newest);

  bool stopped = false;
  plugin_->BeginShutdown([&] { stopped = true; });
  http::RunUntil(loop_, [&] { return stopped; });
  plugin_.reset();
  StartHost();
  http::RunUntil(loop_, [&] {
    return plugin_->local_replica().machine().policy().current()->version == newest.version;
  });
  EXPECT_EQ(*plugin_->local_replica().machine().policy().current(), newest);
}

// Guards against a control host that takes part no more, until its process is restarted, after its
// disk was full once.
TEST_F(ControlPluginTest, TakesPartAgainAfterItsDiskWasFull) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ASSERT_EQ(*answer_, policy_answer::kAccepted);
  loop::timer later(loop_);
  for (std::uint64_t version = 6; version < 9; ++version) {
    {
      const full_disk full;
      Replace(version, version - 1);
      http::RunUntil(loop_, [this] { return answer_.has_value(); });
      EXPECT_EQ(*answer_, policy_answer::kUnknown) << "the change was in progress";
      bool passed = false;
      later.Start(kernel::milliseconds(300), [&] { passed = true; });
      http::RunUntil(loop_, [&] { return passed; });
    }
    http::RunUntil(loop_, [this] { return plugin_->local_replica().node().IsLeader(); });
    Replace(version, version - 1);
    http::RunUntil(loop_, [this] { return answer_.has_value(); });
    ASSERT_EQ(*answer_, policy_answer::kAccepted);
  }
  EXPECT_EQ(plugin_->local_replica().machine().policy().current()->version,
            kernel::policy_version(8));
}

// Guards against an operator who waits for the deadline of a request that this host can't store or
// prove, and against a host that claims to lead, or to be healthy, while its disk is full.
TEST_F(ControlPluginTest, RefusesRequestsAtOnceWhileItsDiskIsFull) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  ASSERT_TRUE(admin_.Listen(settings_.admin_listen));
  const full_disk full;
  Replace(6, 5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });

  Replace(6, 5);
  ASSERT_TRUE(answer_) << "it is answered without waiting";
  EXPECT_EQ(*answer_, policy_answer::kNotStored);
  std::optional<rollout_answer> rollout;
  context_.rollouts.start({kernel::service_name("forms"), kernel::software_version("2"), {}},
                          [&](rollout_answer answer) { rollout = answer; });
  EXPECT_EQ(rollout, rollout_answer::kNotStored);
  bool was_read = false;
  context_.policy.read([&](const policy_reading& reading) {
    was_read = true;
    EXPECT_EQ(reading.table, nullptr);
  });
  EXPECT_TRUE(was_read);
  EXPECT_FALSE(plugin_->local_replica().node().IsLeader());

  const codec::json status = plugin_->StatusReport();
  EXPECT_NE(status["role"], "leader");
  EXPECT_EQ(status["storage"]["state"], "failing");
  EXPECT_EQ(status["storage"]["error"]["call"], "write");
  EXPECT_EQ(status["storage"]["error"]["errno"], EFBIG);
  http::admin_client client(loop_);
  std::optional<http::client_response> response;
  client.Request(
      admin_.local_endpoint(), http::method::post, "/v1/accept",
      R"({"change_id": "c1", "author": "ana", "note": ""})", std::chrono::seconds(30),
      [&](const http::http_result<http::client_response>& result) { response = result.value(); });
  http::RunUntil(loop_, [&] { return response.has_value(); });
  EXPECT_EQ(response->status, 503);
  EXPECT_NE(response->body.find("not stored"), std::string::npos);
}

// Guards against a process that ends, instead of waiting for room, because its disk is full when it
// starts.
TEST_F(ControlPluginTest, StartsOnAFullDisk) {
  Replace(5);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  plugin_.reset();
  {
    const full_disk full;
    auto created = control_plugin::Create(context_);
    ASSERT_TRUE(created);
    plugin_ = created.value();
    plugin_->Start();
    EXPECT_FALSE(plugin_->CanStore());
  }
  http::RunUntil(loop_, [this] {
    return plugin_->local_replica().machine().policy().current()->version ==
           kernel::policy_version(5);
  });
}

// Guards against a process that ends because a call on its data folder returns an error that was
// not expected at the start: what starts the process again may no longer let it found its group.
TEST_F(ControlPluginTest, StartsWhileItsDataFolderCanNotBeCreated) {
  plugin_.reset();
  const std::string obstacle = folder_ + "/obstacle";
  const int descriptor = ::open(obstacle.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
  ASSERT_GE(descriptor, 0);
  ::close(descriptor);
  settings_.control->data_folder = obstacle + "/data";
  auto created = control_plugin::Create(context_);
  ASSERT_TRUE(created);
  plugin_ = created.value();
  plugin_->Start();
  EXPECT_EQ(plugin_->StatusReport()["storage"]["error"]["errno"], ENOTDIR);
  std::filesystem::remove(obstacle);
  http::RunUntil(loop_, [this] { return plugin_->local_replica().node().IsLeader(); });
}

// Guards against a process that ends because the one before it has not given back its lock yet.
TEST_F(ControlPluginTest, WaitsForTheLockOfAnEarlierProcess) {
  plugin_.reset();
  const std::string path = folder_ + "/lock";
  const int descriptor = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  ASSERT_GE(descriptor, 0);
  ASSERT_EQ(::flock(descriptor, LOCK_EX), 0);
  auto created = control_plugin::Create(context_);
  ASSERT_TRUE(created);
  plugin_ = created.value();
  plugin_->Start();
  EXPECT_FALSE(plugin_->CanStore());
  ::close(descriptor);
  http::RunUntil(loop_, [this] { return plugin_->local_replica().node().IsLeader(); });
}

// Guards against a large change that is lost on its way from another control host to the leader.
TEST_F(ControlPluginTest, AppliesALargeChangeThatAnotherHostForwards) {
  settings::daemon_settings other = settings_;
  other.host = kernel::host_id("b");
  other.control->peers = {{settings_.host, plugin_->mesh_endpoint(), {}}};
  control_mesh mesh(loop_, other, nullptr, 1);
  mesh.Start();
  http::RunUntil(loop_, [&] { return mesh.IsConnected(settings_.host); });
  const policy::policy_table table = LargePolicy(6'000, 10'000);
  mesh.Submit(
      settings_.host,
      cornelweir::control::replace_policy_command{policy::Diff(policy::policy_table(), table),
                                                  kernel::policy_digest(1), std::nullopt},
      [](const auto&) {});
  const auto& store = plugin_->local_replica().machine().policy();
  http::RunUntil(loop_, [&] { return store.current()->version == table.version; });
  EXPECT_EQ(*store.current(), table);
  mesh.Stop();
}

// Guards against an operator who resends a policy that can never be accepted.
TEST_F(ControlPluginTest, RefusesAPolicyAboveTheBound) {
  policy::policy_table table = LargePolicy(1, 1);
  for (int i = 0; i < 1'000; ++i) {
    policy::route route;
    route.host = std::to_string(i);
    route.path_prefix.resize(10'000);
    for (char& byte : route.path_prefix) byte = static_cast<char>(random_.NextU64());
    table.routes.push_back(route);
  }
  Replace(table);
  http::RunUntil(loop_, [this] { return answer_.has_value(); });
  EXPECT_EQ(*answer_, policy_answer::kTooLarge);
}

}  // namespace
}  // namespace cornelweir::plugins::control
