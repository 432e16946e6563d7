// Tests how a daemon follows a rollout: which upstream gets a request, and when the upstream on its
// own host is closed.

#include "plugins/sidecar/rollout_agent.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/sidecar/data_frame.h"
#include "plugins/sidecar/peer_set.h"
#include "plugins/sidecar/upstream_dispatcher.h"
#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

const kernel::service_name kService("forms");

rollout::rollout_record Record(std::uint64_t revision, std::int64_t share,
                               rollout::rollout_state state = rollout::rollout_state::kRunning) {
  rollout::rollout_record record;
  record.service = kService;
  record.target = kernel::software_version("v2");
  record.released = {kernel::software_version("v1")};
  record.share = kernel::traffic_share(share);
  record.state = state;
  record.duration = kernel::milliseconds(12'000);
  record.started = kernel::rollout_revision(1);
  record.revision = kernel::rollout_revision(revision);
  return record;
}

// A daemon and three others, whose upstreams have the versions v1 and v2, and an unknown one.
// NOLINTNEXTLINE(readability-identifier-naming)
class RolloutAgentTest : public ::testing::Test {
 protected:
  RolloutAgentTest() {
    peers_.UseRollouts(agent_.table());
    std::map<kernel::endpoint, membership::roster_entry> roster;
    for (const char* version : {"v1", "v2", ""}) {
      transport::link_handlers handlers;
      handlers.message = [version](const std::shared_ptr<transport::link>& link, std::string_view) {
        protocol::upstream_report report;
        report.service = kService;
        report.accepting = true;
        report.version = kernel::software_version(version);
        report.load.slots = 4;
        SendData(*link, report);
      };
      auto opened = transport::listener::Open(
          daemon_.loop.context(), kernel::endpoint("127.0.0.1:0"), nullptr, std::move(handlers));
      EXPECT_TRUE(opened);
      listeners_.push_back(opened.value());
      membership::roster_entry entry;
      entry.daemon = listeners_.back()->local_endpoint();
      roster[entry.daemon] = entry;
    }
    peers_.Update(roster);
    std::vector<std::shared_ptr<peer>> found;
    http::RunUntil(daemon_.loop, [&] {
      if (const auto next = peers_.Choose({kService, found})) found.push_back(next);
      return found.size() == 3;
    });
  }
  ~RolloutAgentTest() override {
    for (const auto& listener : listeners_) listener->Close();
    agent_.Stop();
  }

  // The versions of the upstreams that were chosen for 120 requests.
  std::map<std::string, int> Choose(const std::vector<std::shared_ptr<peer>>& excluded = {}) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 120; ++i) {
      const std::shared_ptr<peer> next = peers_.Choose({kService, excluded});
      ++chosen[next ? next->version().value() : "none"];
    }
    return chosen;
  }

  std::shared_ptr<peer> PeerOf(const char* version) {
    std::vector<std::shared_ptr<peer>> others;
    while (auto next = peers_.Choose({kService, others})) {
      if (next->version().value() == version) return next;
      others.push_back(next);
    }
    return nullptr;
  }

  void Announce(const char* version) {
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = daemon_.settings.sidecar->upstream;
    announcement.service = kService;
    announcement.version = kernel::software_version(version);
    announcement.slots = 1;
    announcement.sequence = ++sequence_;
    AnnounceHealthy(daemon_.loop, dispatcher_, upstream_, announcement);
  }

  dialect_functions Dialect() {
    daemon_.settings.sidecar->upstream = upstream_.endpoint();
    dialect_functions functions{};
    ReadHealthResponses(functions);
    return functions;
  }

  sidecar_test_context daemon_;
  http::raw_server upstream_{daemon_.loop};
  dialect_functions dialect_ = Dialect();
  bulk_sender bulk_{daemon_.context};
  upstream_dispatcher dispatcher_{daemon_.context, dialect_, bulk_,
                                  [this] { agent_.OnUpstreamChanged(); }};
  std::vector<rollout::rollout_sample> samples_;
  rollout_agent agent_{daemon_.context, dispatcher_, [this](const rollout::rollout_sample& sample) {
                         samples_.push_back(sample);
                       }};
  peer_set peers_{daemon_.context, dispatcher_, bulk_};
  std::vector<std::shared_ptr<transport::listener>> listeners_;
  std::uint64_t sequence_ = 0;
};

// Guards against requests to a version above its share, to one that the record excludes, and to an
// upstream whose version is unknown.
TEST_F(RolloutAgentTest, ChoosesAmongVersionsByTheRecord) {
  EXPECT_EQ(Choose().size(), 3U) << "without a record all upstreams are equal";
  agent_.Apply({Record(1, 250)});
  EXPECT_EQ(Choose(), (std::map<std::string, int>{{"v1", 90}, {"v2", 30}}));
  agent_.Apply({Record(2, 1'000)});
  EXPECT_EQ(Choose(), (std::map<std::string, int>{{"v2", 120}}));
  agent_.Apply({Record(3, 0, rollout::rollout_state::kRolledBack)});
  EXPECT_EQ(Choose(), (std::map<std::string, int>{{"v1", 120}}));
}

// Guards against requests that are sent again to a version without evidence, above its share, and
// against refusing requests selected for a target that is not available.
TEST_F(RolloutAgentTest, SendsAgainOnlyToReleasedVersions) {
  const std::shared_ptr<peer> released = PeerOf("v1");
  const std::shared_ptr<peer> target = PeerOf("v2");
  agent_.Apply({Record(1, 83)});
  EXPECT_EQ(Choose({target}), (std::map<std::string, int>{{"v1", 120}}));
  EXPECT_EQ(Choose({released}), (std::map<std::string, int>{{"none", 120}}));
  target->Close();
  http::RunUntil(daemon_.loop, [&] { return !target->Serves(kService); });
  EXPECT_EQ(Choose(), (std::map<std::string, int>{{"v1", 120}}));
}

// Guards against running requests at an upstream that the record excludes, whoever sends them.
TEST_F(RolloutAgentTest, ClosesAnUpstreamThatTheRecordExcludes) {
  Announce("v1");
  EXPECT_TRUE(dispatcher_.Serves(kService));
  agent_.Apply({Record(1, 1'000)});
  EXPECT_FALSE(dispatcher_.Serves(kService));
  EXPECT_FALSE(dispatcher_.Report().accepting);
  std::optional<run_result> result;
  protocol::run_request run;
  run.service = kService;
  run.time_left = run.objective_left = std::chrono::seconds(1);
  dispatcher_.Run(run, "", [&](run_result ended) { result = std::move(ended); });
  http::RunUntil(daemon_.loop, [&] { return result.has_value(); });
  EXPECT_EQ(result->failure, protocol::run_failure::kNoUpstream);
  agent_.Apply({Record(2, 0, rollout::rollout_state::kRolledBack)});
  EXPECT_TRUE(dispatcher_.Serves(kService));
  Announce("v2");
  EXPECT_FALSE(dispatcher_.Serves(kService));
}

// Guards against an upstream whose version is forgotten when only the daemon restarts.
TEST_F(RolloutAgentTest, KeepsTheVersionThatItReported) {
  Announce("v1");
  ASSERT_TRUE(dispatcher_.LastAnnounced());
  EXPECT_EQ(dispatcher_.LastAnnounced()->version, kernel::software_version("v1"));
  EXPECT_EQ(dispatcher_.Report().version, kernel::software_version("v1"));
}

// Guards against a leader that gets no evidence, or evidence of an earlier step.
TEST_F(RolloutAgentTest, ReportsWhileARolloutRuns) {
  Announce("v2");
  agent_.Apply({Record(1, 83)});
  http::RunUntil(daemon_.loop, [this] { return samples_.size() == 1; });
  EXPECT_EQ(samples_[0].revision, kernel::rollout_revision(1));
  EXPECT_EQ(samples_[0].version, kernel::software_version("v2"));
  EXPECT_TRUE(samples_[0].open);
  EXPECT_EQ(samples_[0].slots, 1);
  agent_.Apply({Record(2, 250)});
  http::RunUntil(daemon_.loop, [this] { return samples_.size() == 2; });
  EXPECT_EQ(samples_[1].revision, kernel::rollout_revision(2));
  EXPECT_GT(samples_[1].counted_since, samples_[0].counted_since);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
