// Tests what a daemon uses of its upstream: within what the upstream's responses say of it, and
// after the daemon alone has restarted.

#include "plugins/sidecar/upstream_dispatcher.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plugins/wall_clock.h"
#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

http::whole_request EncodeRun(const protocol::run_request& run, std::string body,
                              const kernel::upstream_id& upstream, kernel::milliseconds) {
  return {run.method,
          run.target,
          {{"Host", "h"}, {"Id", run.target}, {"Upstream", upstream.value()}},
          std::move(body)};
}

upstream_response_kind ClassifyResponse(const protocol::run_request& run,
                                        const http::whole_response& response) {
  return http::FindHeader(response.headers, "Id") == run.target ? upstream_response_kind::kResponse
                                                                : upstream_response_kind::kStale;
}

bool HasRequestId(const http::whole_response& response) {
  return !http::FindHeader(response.headers, "Id").empty();
}

upstream_notice ReadNotice(const http::whole_response& response) {
  upstream_notice notice;
  const std::string_view limit = http::FindHeader(response.headers, "Limit");
  notice.leaving = !http::FindHeader(response.headers, "Leaving").empty();
  if (!limit.empty()) notice.rate_limit = kernel::request_rate(std::stoll(std::string(limit)));
  return notice;
}

kernel::upstream_id HealthyUpstream(const http::whole_response& response) {
  return response.status == 200
             ? kernel::upstream_id(std::string(http::FindHeader(response.headers, "Upstream")))
             : kernel::upstream_id();
}

// NOLINTNEXTLINE(readability-identifier-naming)
class UpstreamDispatcherTest : public ::testing::Test {
 protected:
  UpstreamDispatcherTest() {
    daemon_.settings.sidecar->upstream = server_.endpoint();
    dialect_.encode_run = &EncodeRun;
    dialect_.classify_response = &ClassifyResponse;
    dialect_.has_request_id = &HasRequestId;
    dialect_.read_notice = &ReadNotice;
    dialect_.healthy_upstream = &HealthyUpstream;
    server_.on_bytes = [this](http::raw_peer& peer) {
      while (peer.received.find("\r\n\r\n") != std::string::npos) {
        const bool is_probe = peer.received.starts_with("GET /health");
        if (peer.received.find("Upstream: u2") != std::string::npos) ++runs_for_successor_;
        peer.received.erase(0, peer.received.find("\r\n\r\n") + 4);
        ++(is_probe ? probes_ : runs_);
        if (is_probe) {
          peer.Send(probe_response_);
        } else if (!run_responses_.empty()) {
          peer.Send(run_responses_.front());
          run_responses_.pop_front();
        }
      }
    };
    Restart();
  }

  membership::upstream_announcement Announcement(std::uint64_t sequence) const {
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = server_.endpoint();
    announcement.service = kernel::service_name("forms");
    announcement.slots = 6;
    announcement.started_at = kernel::incarnation(1'000);
    announcement.sequence = sequence;
    return announcement;
  }

  // The announcement of a process with the same id that starts after the daemon.
  membership::upstream_announcement LaterProcess() const {
    membership::upstream_announcement announcement = Announcement(1);
    announcement.started_at = kernel::incarnation(
        static_cast<std::uint64_t>((SinceEpochMs() + kernel::milliseconds(60'000)).count()));
    return announcement;
  }

  // Starts the daemon, or starts it again without what it knew.
  void Restart() {
    dispatcher_ = std::make_unique<upstream_dispatcher>(daemon_.context, dialect_, bulk_, [] {});
    dispatcher_->SetHealthPathSource([](const kernel::service_name&) { return "/health"; });
  }

  // Announces an upstream that this daemon does not know, and waits until it is used.
  void AnnounceFirst(const membership::upstream_announcement& announcement) {
    AnnounceHealthy(daemon_.loop, *dispatcher_, announcement);
    probes_ = 0;
  }

  // Handles all events until this many more probes have been answered.
  void AwaitProbes(int count) {
    const int awaited = probes_ + count;
    http::RunUntil(daemon_.loop, [&] { return probes_ >= awaited; });
  }

  void Probe() {
    dispatcher_->StartProbing();
    http::RunUntil(daemon_.loop, [this] { return dispatcher_->Report().upstream.value() == "u1"; });
  }

  admission::ticket RunOne(kernel::milliseconds time_left) {
    protocol::run_request run;
    run.service = kernel::service_name("forms");
    run.method = "GET";
    run.target = "/run";
    run.time_left = run.objective_left = time_left;
    return dispatcher_->Run(run, "", [this](run_result result) { latest_ = std::move(result); });
  }

  void Run(int count, kernel::milliseconds time_left = kernel::milliseconds(5'000)) {
    for (int i = 0; i < count; ++i) RunOne(time_left);
  }

  // Runs a request as the first input that is read after a pause.
  admission::ticket RunAfterAPause(kernel::milliseconds time_left) {
    daemon_.pauses = loop::pause_tracker(daemon_.clock.Now() - kernel::milliseconds(3'000));
    return RunOne(time_left);
  }

  static std::string Response(const std::string& header) {
    return "HTTP/1.1 200 OK\r\nId: /run\r\nContent-Length: 0\r\n" + header + "\r\n";
  }

  // Runs as many requests as there are headers, which are added to the responses.
  void RunToEnd(const std::vector<std::string>& headers) {
    for (const std::string& header : headers) run_responses_.push_back(Response(header));
    Run(static_cast<int>(headers.size()), kLongTime);
    http::RunUntil(daemon_.loop, [this] { return !dispatcher_->busy(); });
  }

  // Announces an upstream whose responses state no rate limit.
  void AnnounceWithoutRateLimit() {
    AnnounceFirst(Announcement(1));
    RunToEnd({kNoHeader});
    http::RunUntil(daemon_.loop, [this] { return dispatcher_->Load().slots == 6; });
    runs_ = 0;
    latest_.reset();
  }

  // Sends ten requests and returns how many of them have not started.
  std::int64_t QueuedOfTen() {
    Run(10, kLongTime);
    return dispatcher_->Load().queued;
  }

  static membership::announced_upstream Known(std::uint64_t sequence, bool draining) {
    membership::announced_upstream known;
    known.id = kernel::upstream_id("u1");
    known.started_at = kernel::incarnation(1'000);
    known.sequence = sequence;
    known.slots = 3;
    known.draining = draining;
    return known;
  }

  // More than ten requests take at kSlowRate.
  static constexpr kernel::milliseconds kLongTime{60'000};
  static constexpr kernel::request_rate kSlowRate{250};
  static constexpr const char* kSlowRateHeader = "Limit: 250\r\n";
  static constexpr const char* kHighRateHeader = "Limit: 1000000\r\n";
  static constexpr const char* kLeavingHeader = "Leaving: 1\r\n";
  static constexpr const char* kNoHeader = "";
  static constexpr const char* kUnhealthy =
      "HTTP/1.1 503 Unavailable\r\nUpstream: u1\r\nContent-Length: 0\r\n\r\n";

  sidecar_test_context daemon_;
  http::raw_server server_{daemon_.loop};
  dialect_functions dialect_{};
  bulk_sender bulk_{daemon_.context};
  std::string probe_response_ = "HTTP/1.1 200 OK\r\nUpstream: u1\r\nContent-Length: 0\r\n\r\n";
  // The responses to the next requests. Later requests get none.
  std::deque<std::string> run_responses_;
  int probes_ = 0;
  int runs_ = 0;
  // Requests that are addressed to upstream u2.
  int runs_for_successor_ = 0;
  std::unique_ptr<upstream_dispatcher> dispatcher_;
  std::optional<run_result> latest_;
};

// Guards against requests that reach an upstream after the daemon has acknowledged that it drains:
// the daemon restarts, and the upstream still answers that it is healthy.
TEST_F(UpstreamDispatcherTest, DoesNotUseAnUpstreamThatDrainedBeforeTheRestart) {
  dispatcher_->Restore(Known(9, true));
  Probe();
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
}

// The same if the probe ends before the daemon is told what it knew.
TEST_F(UpstreamDispatcherTest, StopsUsingAnUpstreamThatDrainedBeforeTheRestart) {
  Probe();
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
  dispatcher_->Restore(Known(9, true));
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
}

// Guards against an announcement that was delayed and arrives after the daemon's restart.
TEST_F(UpstreamDispatcherTest, RefusesAnAnnouncementOlderThanTheRestart) {
  dispatcher_->Restore(Known(9, true));
  EXPECT_EQ(dispatcher_->Announce(Announcement(8)), announcement_result::kOutdated);
  EXPECT_EQ(dispatcher_->Announce(Announcement(10)), announcement_result::kOutdated)
      << "an upstream that drains does not become available again";
  dispatcher_->Restore(Known(5, false));
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")))
      << "older knowledge was restored";
}

// Guards against more requests than the upstream has slots before its number is known: full
// upstreams reset the connection, and the outcome of the request is unknown.
TEST_F(UpstreamDispatcherTest, SendsNoMoreRequestsThanTheKnownSlots) {
  Probe();
  EXPECT_EQ(dispatcher_->Load().slots, 1);
  dispatcher_->Restore(Known(9, false));
  EXPECT_EQ(dispatcher_->Load().slots, 3);
  Run(5);
  http::RunUntil(daemon_.loop, [this] { return runs_ >= 3; });
  EXPECT_EQ(runs_, 3);
  EXPECT_EQ(dispatcher_->Load().in_progress, 3);
  dispatcher_->Announce(Announcement(10));
  EXPECT_EQ(dispatcher_->Load().slots, 6);
}

// Guards against a probe that takes the late copy of another response for its own, which then
// arrives as the response to the next request.
TEST_F(UpstreamDispatcherTest, ProbeSkipsALateResponse) {
  probe_response_ =
      "HTTP/1.1 200 OK\r\nId: /late\r\nUpstream: u9\r\nContent-Length: 0\r\n\r\n" + probe_response_;
  Probe();
  EXPECT_EQ(probes_, 1);
}

// Guards against running a request whose time ran out while this process was paused.
TEST_F(UpstreamDispatcherTest, RefusesAnOverdueRequest) {
  AnnounceFirst(Announcement(1));
  Run(1, kernel::milliseconds(-100));
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoCapacity);
  EXPECT_EQ(runs_, 0);
}

// Guards against a request of another daemon that is cut because this one ends before it does.
TEST_F(UpstreamDispatcherTest, RefusesWhatMayRunLongerThanTheDaemon) {
  AnnounceWithoutRateLimit();
  dispatcher_->RefuseRunsBeyond(daemon_.clock.Now() + kernel::milliseconds(2'000));
  Run(1, kernel::milliseconds(4'000));
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoUpstream) << "its sender tries another";
  EXPECT_EQ(runs_, 0);
  Run(1, kernel::milliseconds(1'500));
  http::RunUntil(daemon_.loop, [this] { return runs_ == 1; });
}

// Guards against starting a request that waited unread during a pause of this process, when the
// cancellation behind it is unread.
TEST_F(UpstreamDispatcherTest, DoesNotStartARequestThatWasCancelledDuringThePause) {
  AnnounceFirst(Announcement(1));
  const admission::ticket waited = RunAfterAPause(kLongTime);
  dispatcher_->Cancel(waited);
  EXPECT_FALSE(dispatcher_->busy());
  RunToEnd({kNoHeader});
  EXPECT_EQ(runs_, 1) << "only the later request";
}

// The same for a request that was queued before the pause and gets a slot after it.
TEST_F(UpstreamDispatcherTest, DoesNotStartAQueuedRequestThatWasCancelledDuringThePause) {
  AnnounceWithoutRateLimit();
  run_responses_.push_back(Response(kNoHeader));
  Run(6, kLongTime);
  const admission::ticket queued = RunAfterAPause(kLongTime);
  http::RunUntil(daemon_.loop, [this] { return dispatcher_->Load().queued == 0 && runs_ == 6; });
  dispatcher_->Cancel(queued);
  EXPECT_EQ(dispatcher_->Load().in_progress, 5);
  run_responses_.push_back(Response(kNoHeader));
  latest_.reset();
  Run(1, kLongTime);
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(runs_, 7) << "the six before and the one after";
}

// Guards against a slot that stays in use, and against starting a request whose deadline passes
// while the input is read.
TEST_F(UpstreamDispatcherTest, RefusesARequestWhoseDeadlinePassesAfterThePause) {
  AnnounceFirst(Announcement(1));
  RunAfterAPause(kernel::milliseconds(20));
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoCapacity);
  EXPECT_EQ(dispatcher_->Load().in_progress, 0);
  EXPECT_EQ(runs_, 0);
}

// Guards against calls of the upstream that have no rank, or that of requests that only wait.
TEST_F(UpstreamDispatcherTest, CallsInheritTheRankOfRunningRequests) {
  AnnounceWithoutRateLimit();
  EXPECT_FALSE(dispatcher_->RankOfCalls());
  Run(6, kLongTime);
  Run(7, kLongTime * 2);
  const auto rank = dispatcher_->RankOfCalls();
  ASSERT_TRUE(rank);
  EXPECT_GT(rank->time_left, kLongTime / 2);
  EXPECT_LE(rank->time_left, kLongTime);
}

// Guards against a share of retries that counts requests which only wait, or which have ended.
TEST_F(UpstreamDispatcherTest, StatesTheShareOfRetriesAmongRunningRequests) {
  AnnounceWithoutRateLimit();
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0);
  protocol::run_request run;
  run.service = kernel::service_name("forms");
  run.method = "GET";
  run.target = "/run";
  run.retry_safety = policy::retry_safety::kIdempotent;
  run.time_left = run.objective_left = kLongTime;
  std::vector<admission::ticket> tickets;
  const auto start = [&](int count, bool repeated) {
    run.repeated = repeated;
    for (int i = 0; i < count; ++i) {
      tickets.push_back(dispatcher_->Run(run, "", [](const run_result&) {}));
    }
  };
  start(3, false);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0);
  start(3, true);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0.5);
  start(2, true);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0.5) << "two requests wait";
  dispatcher_->Cancel(tickets[6]);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0.5) << "a waiting request was cancelled";
  dispatcher_->Cancel(tickets[0]);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 4.0 / 6.0) << "a waiting request took the slot";
  for (const admission::ticket& ticket : tickets) dispatcher_->Cancel(ticket);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0);
  // Cancelled requests whose bytes were already sent take responses, too.
  for (std::size_t i = 0; i <= tickets.size(); ++i) run_responses_.push_back(Response(kNoHeader));
  start(1, true);
  EXPECT_EQ(dispatcher_->RepeatedShare(), 1);
  http::RunUntil(daemon_.loop, [this] { return !dispatcher_->busy(); });
  EXPECT_EQ(dispatcher_->RepeatedShare(), 0);
}

// Guards against a nested request that waits or runs when its parent has already timed out.
TEST_F(UpstreamDispatcherTest, ANestedRequestEndsWithItsParent) {
  AnnounceFirst(Announcement(1));
  protocol::run_request nested;
  nested.service = kernel::service_name("forms");
  nested.caller = kernel::service_name("planner");
  nested.route = kernel::route_name("nested");
  nested.target = "/run";
  nested.time_left = nested.objective_left = kLongTime;
  nested.parent = protocol::parent_rank{0, kernel::milliseconds(50), kernel::milliseconds(100)};
  const auto run_nested = [&] {
    dispatcher_->Run(nested, "", [this](run_result result) { latest_ = std::move(result); });
  };
  RunToEnd({kNoHeader});
  for (std::uint64_t i = 0; i < admission::kMinRequestsToClassify; ++i) {
    run_responses_.push_back(Response(kNoHeader));
    run_nested();
    http::RunUntil(daemon_.loop, [this] { return !dispatcher_->busy(); });
  }
  EXPECT_TRUE(latest_->nested);
  Run(6, kLongTime);
  latest_.reset();
  run_nested();
  EXPECT_EQ(dispatcher_->Load().queued, 1);
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoCapacity);
  EXPECT_EQ(dispatcher_->Load().in_progress, 6);
}

// Guards against an upstream that gets more requests than the limit that its responses state,
// although it has free slots.
TEST_F(UpstreamDispatcherTest, KeepsWithinTheRateLimitThatResponsesState) {
  AnnounceFirst(Announcement(1));
  RunToEnd({kSlowRateHeader});
  EXPECT_GE(QueuedOfTen(), 9);
  EXPECT_EQ(dispatcher_->Load().slots, 1);
  ASSERT_TRUE(dispatcher_->LastAnnounced());
  EXPECT_EQ(dispatcher_->LastAnnounced()->rate_limit, kSlowRate);
}

// Guards against a limit that the upstream no longer states.
TEST_F(UpstreamDispatcherTest, LiftsTheRateLimitOnceALaterResponseStatesNone) {
  AnnounceFirst(Announcement(1));
  RunToEnd({kHighRateHeader});
  RunToEnd({kNoHeader});
  EXPECT_EQ(QueuedOfTen(), 4) << "there are six slots";
}

// Guards against a limit that is lost because a request which ran before it ends later.
TEST_F(UpstreamDispatcherTest, KeepsTheRateLimitAfterAResponseToAnEarlierRequest) {
  AnnounceWithoutRateLimit();
  RunToEnd({kSlowRateHeader, kNoHeader});
  EXPECT_GE(QueuedOfTen(), 9);
}

// Guards against a restart of the daemon that lets its upstream have more than it takes.
TEST_F(UpstreamDispatcherTest, KeepsTheRateLimitAcrossARestartOfTheDaemon) {
  membership::announced_upstream known = Known(9, false);
  known.rate_limit = kSlowRate;
  dispatcher_->Restore(known);
  Probe();
  dispatcher_->Announce(Announcement(10));
  EXPECT_GE(QueuedOfTen(), 9);
}

// Guards against a limit of an upstream process that holds for its successor.
TEST_F(UpstreamDispatcherTest, DropsTheRateLimitWithItsUpstream) {
  AnnounceFirst(Announcement(1));
  RunToEnd({kSlowRateHeader});
  membership::upstream_announcement successor = Announcement(1);
  successor.started_at = kernel::incarnation(2'000);
  dispatcher_->Announce(successor);
  EXPECT_EQ(QueuedOfTen(), 4) << "there are six slots";
}

// Guards against queued requests that are sent, addressed to the upstream that is gone, when its
// successor has no limit.
TEST_F(UpstreamDispatcherTest, SendsQueuedRequestsToTheSuccessor) {
  AnnounceFirst(Announcement(1));
  RunToEnd({kSlowRateHeader});
  ASSERT_EQ(QueuedOfTen(), 9);
  membership::upstream_announcement successor = Announcement(1);
  successor.id = kernel::upstream_id("u2");
  successor.started_at = kernel::incarnation(2'000);
  dispatcher_->Announce(successor);
  http::RunUntil(daemon_.loop, [this] { return runs_ == 7; });
  EXPECT_EQ(runs_for_successor_, 5) << "there are six slots, and one request runs";
}

// Guards against a limit that is forgotten because what was known before the restart arrives later.
TEST_F(UpstreamDispatcherTest, KeepsAStatedRateLimitWhenItsUpstreamIsRestored) {
  Probe();
  RunToEnd({kSlowRateHeader});
  dispatcher_->Restore(Known(9, false));
  EXPECT_GE(QueuedOfTen(), 9);
}

// Guards against new requests for an upstream whose responses say that it leaves, before or without
// an announcement that says so.
TEST_F(UpstreamDispatcherTest, StopsUsingAnUpstreamWhoseResponseSaysThatItLeaves) {
  AnnounceWithoutRateLimit();
  Run(6, kLongTime);
  Run(1, kLongTime);
  ASSERT_EQ(dispatcher_->Load().queued, 1);
  http::RunUntil(daemon_.loop, [this] { return runs_ == 6; });
  dispatcher_->Announce(Announcement(2));
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
  server_.peers.back()->Send(Response(kLeavingHeader));
  http::RunUntil(daemon_.loop, [this] { return latest_ && latest_->response; });
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  http::RunUntil(daemon_.loop, [this] { return dispatcher_->Load().queued == 0; });
  EXPECT_EQ(runs_, 6) << "the queued request was sent";
  EXPECT_EQ(dispatcher_->Announce(Announcement(3)), announcement_result::kOutdated);
  ASSERT_TRUE(dispatcher_->LastAnnounced());
  EXPECT_TRUE(dispatcher_->LastAnnounced()->draining) << "lost if the daemon restarts";
  membership::upstream_announcement successor = Announcement(1);
  successor.started_at = kernel::incarnation(2'000);
  dispatcher_->Announce(successor);
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
}

rollout::rollout_record RunningRollout() {
  rollout::rollout_record record;
  record.service = kernel::service_name("forms");
  record.target = kernel::software_version("v2");
  record.released = {kernel::software_version("v1")};
  record.share = rollout::kCanaryShare;
  record.duration = kernel::milliseconds(10'000);
  record.started = record.revision = kernel::rollout_revision(1);
  return record;
}

// Guards against more requests than the upstream takes after a restart of the daemon of which no
// control host knows the upstream: its limit is unknown until a response states it.
TEST_F(UpstreamDispatcherTest, SendsOneRequestAtATimeWhileTheRateLimitIsUnknown) {
  AnnounceFirst(Announcement(1));
  EXPECT_EQ(dispatcher_->Load().slots, 1);
  EXPECT_EQ(QueuedOfTen(), 9);
  http::RunUntil(daemon_.loop, [this] { return runs_ == 1; });
  server_.peers.back()->Send(Response(kSlowRateHeader));
  http::RunUntil(daemon_.loop, [this] { return latest_ && latest_->response; });
  EXPECT_EQ(dispatcher_->LastAnnounced()->rate_limit, kSlowRate);
  EXPECT_GE(QueuedOfTen(), 9);
}

// Guards against a daemon that never uses more than one slot of an upstream without a limit.
TEST_F(UpstreamDispatcherTest, UsesAllSlotsOnceAResponseStatesNoRateLimit) {
  Probe();
  AnnounceFirst(Announcement(1));
  EXPECT_EQ(dispatcher_->Load().slots, 1);
  RunToEnd({kNoHeader});
  http::RunUntil(daemon_.loop, [this] { return dispatcher_->Load().slots == 6; });
  EXPECT_FALSE(dispatcher_->LastAnnounced()->rate_limit);
}

// Guards against one request at a time at an upstream that starts while its daemon runs.
TEST_F(UpstreamDispatcherTest, UsesAllSlotsOfAnUpstreamThatStartsAfterTheDaemon) {
  AnnounceFirst(LaterProcess());
  EXPECT_EQ(dispatcher_->Load().slots, 6);
}

// Guards against opening an upstream again that a probe found and that said in a response that it
// leaves: its announcement from before that arrives late, or the control host returns an older
// state. A later process with the same id is used.
TEST_F(UpstreamDispatcherTest, ALeavingUpstreamThatAProbeFoundStaysClosed) {
  Probe();
  RunToEnd({kLeavingHeader});
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  EXPECT_EQ(dispatcher_->Announce(Announcement(1)), announcement_result::kOutdated);
  dispatcher_->Restore(Known(9, false));
  EXPECT_EQ(dispatcher_->Announce(Announcement(10)), announcement_result::kOutdated);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  EXPECT_EQ(dispatcher_->Announce(LaterProcess()), announcement_result::kAccepted);
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
}

// The same if its health response says that it leaves.
TEST_F(UpstreamDispatcherTest, DoesNotUseAnUpstreamWhoseHealthResponseSaysThatItLeaves) {
  probe_response_ = "HTTP/1.1 200 OK\r\nUpstream: u1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
  Probe();
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  EXPECT_EQ(dispatcher_->Announce(Announcement(1)), announcement_result::kOutdated);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
}

// The same if the daemon knew the upstream before its restart as one that does not drain.
TEST_F(UpstreamDispatcherTest, DoesNotUseARestoredUpstreamWhoseHealthResponseSaysThatItLeaves) {
  probe_response_ = "HTTP/1.1 200 OK\r\nUpstream: u1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
  dispatcher_->Restore(Known(9, false));
  Probe();
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  EXPECT_TRUE(dispatcher_->LastAnnounced()->draining);
  EXPECT_EQ(dispatcher_->Announce(Announcement(10)), announcement_result::kOutdated);
}

// Guards against requests to an upstream whose departure an earlier process of the daemon has
// acknowledged: an announcement from before arrives late, and nobody remembers the departure.
TEST_F(UpstreamDispatcherTest, DoesNotUseAnUpstreamThatLeftBeforeTheRestart) {
  AnnounceFirst(Announcement(1));
  dispatcher_->Withdraw(kernel::upstream_id("u1"), "withdrawn");
  Restart();
  probe_response_ = kUnhealthy;
  EXPECT_EQ(dispatcher_->Announce(Announcement(2)), announcement_result::kAccepted);
  AwaitProbes(2);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
}

// The same if the departure is the first thing that the daemon hears after its start. A later
// process with the same id is used.
TEST_F(UpstreamDispatcherTest, DoesNotUseAnUnknownUpstreamThatHasLeft) {
  dispatcher_->Withdraw(kernel::upstream_id("u1"), "withdrawn");
  probe_response_ = kUnhealthy;
  EXPECT_EQ(dispatcher_->Announce(Announcement(2)), announcement_result::kAccepted);
  AwaitProbes(2);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  probe_response_ = HealthResponse("u1");
  AnnounceFirst(LaterProcess());
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
}

// The same if the upstream had answered a probe before it left, and the response comes after that.
TEST_F(UpstreamDispatcherTest, IgnoresAHealthResponseFromBeforeTheDeparture) {
  probe_response_.clear();
  dispatcher_->StartProbing();
  AwaitProbes(1);
  dispatcher_->Withdraw(kernel::upstream_id("u1"), "withdrawn");
  server_.peers.back()->Send(HealthResponse("u1"));
  probe_response_ = kUnhealthy;
  AwaitProbes(2);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
}

// Guards against announcements that are accepted after their process has left, because it was not
// used yet.
TEST_F(UpstreamDispatcherTest, RemembersTheDepartureOfAnUpstreamThatIsNotUsedYet) {
  probe_response_ = kUnhealthy;
  EXPECT_EQ(dispatcher_->Announce(Announcement(5)), announcement_result::kAccepted);
  EXPECT_EQ(dispatcher_->Announce(Announcement(4)), announcement_result::kOutdated);
  dispatcher_->Withdraw(kernel::upstream_id("u1"), "withdrawn");
  EXPECT_EQ(dispatcher_->Announce(Announcement(6)), announcement_result::kOutdated);
}

// Guards against closing an upstream because another has left.
TEST_F(UpstreamDispatcherTest, ServesOnWhenAnUnknownUpstreamLeaves) {
  AnnounceFirst(Announcement(1));
  dispatcher_->Withdraw(kernel::upstream_id("u7"), "withdrawn");
  EXPECT_EQ(dispatcher_->Announce(Announcement(2)), announcement_result::kAccepted);
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
}

// Guards against an upstream that is never used because it was full when it was probed first.
TEST_F(UpstreamDispatcherTest, UsesAnUpstreamOnceItAnswersAProbe) {
  probe_response_ = kUnhealthy;
  EXPECT_EQ(dispatcher_->Announce(Announcement(1)), announcement_result::kAccepted);
  AwaitProbes(2);
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms")));
  probe_response_ = HealthResponse("u1");
  http::RunUntil(daemon_.loop,
                 [this] { return dispatcher_->Serves(kernel::service_name("forms")); });
  EXPECT_EQ(dispatcher_->LastAnnounced()->slots, 6);
}

// Guards against an upstream that is never used because its health path fails, and against trusting
// announcements that may be from before a departure.
TEST(AnnouncementTrust, SufficesOnceAnnouncementsAreFromAfterTheDeparture) {
  const kernel::time_point start = kernel::time_point(std::chrono::hours(1));
  const auto delay = announcement_trust::kMaxAnnouncementDelay;
  announcement_trust trust(start);
  EXPECT_FALSE(trust.Suffices(start));
  EXPECT_TRUE(trust.Suffices(start + delay));
  trust.OnHealthResponse();
  EXPECT_TRUE(trust.Suffices(start));
  trust.OnUnknownLeft(start + delay);
  EXPECT_FALSE(trust.Suffices(start + delay));
  EXPECT_TRUE(trust.Suffices(start + 2 * delay));
}

// Guards against an upstream that stays closed during a rollout because its version was forgotten
// when only the daemon restarted.
TEST_F(UpstreamDispatcherTest, KnowsTheVersionAfterARestartOfTheDaemon) {
  rollout::rollout_table table(1);
  rollout::upstream_guard guard(table);
  dispatcher_->UseGuard(guard);
  table.Apply({RunningRollout()}, daemon_.clock.Now());
  guard.OnConfirmed(daemon_.clock.Now());
  Probe();
  EXPECT_FALSE(dispatcher_->Serves(kernel::service_name("forms"))) << "the version is unknown";
  membership::announced_upstream known = Known(9, false);
  known.version = kernel::software_version("v1");
  dispatcher_->Restore(known);
  EXPECT_TRUE(dispatcher_->Serves(kernel::service_name("forms")));
}

// Guards against a bad version that shows as server errors or as requests without a response, which
// their senders cancel at the deadline.
TEST_F(UpstreamDispatcherTest, CountsTheEndsOfRunsDuringARollout) {
  rollout::rollout_table table(1);
  rollout::upstream_guard guard(table);
  dispatcher_->UseGuard(guard);
  membership::upstream_announcement announcement = Announcement(1);
  announcement.version = kernel::software_version("v2");
  AnnounceFirst(announcement);
  RunToEnd({kNoHeader});
  EXPECT_TRUE(guard.counters().routes().empty()) << "no rollout runs";
  table.Apply({RunningRollout()}, daemon_.clock.Now());
  guard.OnConfirmed(daemon_.clock.Now());
  run_responses_.push_back("HTTP/1.1 500 Error\r\nId: /run\r\nContent-Length: 0\r\n\r\n");
  Run(1);
  http::RunUntil(daemon_.loop, [this] { return !dispatcher_->busy(); });
  RunToEnd({kNoHeader});
  protocol::run_request unanswered;
  unanswered.service = kernel::service_name("forms");
  unanswered.method = "GET";
  unanswered.target = "/run";
  unanswered.retry_safety = policy::retry_safety::kIdempotent;
  unanswered.time_left = unanswered.objective_left = kernel::milliseconds(40);
  dispatcher_->Cancel(dispatcher_->Run(unanswered, "", [](const run_result&) {}));
  const rollout::route_evidence counted = guard.counters().routes().at(kernel::route_name());
  EXPECT_EQ(counted.responses, 3);
  EXPECT_EQ(counted.failures, 2);
  EXPECT_EQ(counted.run_times.total(), 2) << "an error may be fast";
}

// Guards against a request that waited in the queue of a daemon while it was paused, and goes to an
// upstream whose version was replaced meanwhile: a response frees the slot before the daemon has
// checked by its clock whether the upstream is still open.
TEST_F(UpstreamDispatcherTest, RefusesQueuedRequestsOnceTheGuardExcludesTheUpstream) {
  rollout::rollout_table table(1);
  rollout::upstream_guard guard(table);
  dispatcher_->UseGuard(guard);
  rollout::rollout_record record;
  record.service = kernel::service_name("forms");
  record.target = kernel::software_version("v2");
  record.share = rollout::kCanaryShare;
  record.revision = kernel::rollout_revision(1);
  const kernel::time_point now = daemon_.clock.Now();
  table.Apply({record}, now);
  guard.OnConfirmed(now);
  membership::upstream_announcement announcement = Announcement(1);
  announcement.version = record.target;
  announcement.slots = 1;
  AnnounceFirst(announcement);
  Run(2, kLongTime);
  http::RunUntil(daemon_.loop, [this] { return runs_ == 1; });
  guard.OnConfirmed(now - rollout::kUnconfirmedCloseTime);
  server_.peers.back()->Send(Response(kNoHeader));
  http::RunUntil(daemon_.loop, [this] { return !dispatcher_->busy(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoUpstream);
  EXPECT_EQ(runs_, 1);
  dispatcher_.reset();
}

// Guards against running requests whose responses have no room, and against refusing them as ones
// that may have run or without a time to come back.
TEST_F(UpstreamDispatcherTest, RefusesARequestWhoseResponseHasNoRoom) {
  AnnounceWithoutRateLimit();
  const std::shared_ptr<memory::memory_account> account = daemon_.context.memory;
  std::vector<std::unique_ptr<memory::memory_hold>> others;
  const auto take = [&](kernel::byte_count bytes) {
    others.push_back(
        std::make_unique<memory::memory_hold>(account, memory::memory_use::kLinkTransfers));
    return others.back()->Resize(bytes);
  };
  // Responses of the route are large from now on.
  const std::string body(3'000'000, 'x');
  run_responses_.push_back("HTTP/1.1 200 OK\r\nId: /run\r\nContent-Length: 3000000\r\n\r\n" + body);
  RunOne(kLongTime);
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  ASSERT_TRUE(latest_->response);
  ASSERT_TRUE(latest_->response->hold);
  EXPECT_EQ(account->taken(), kernel::byte_count(3'000'000)) << "the reservation has ended";
  latest_.reset();
  ASSERT_EQ(account->taken(), kernel::byte_count(0));
  const std::int64_t limit = account->limit().value();
  ASSERT_TRUE(take(kernel::byte_count(limit * 80 / 100)));
  ASSERT_TRUE(take(memory::kMaxSmallHold));
  ASSERT_TRUE(
      account->HasRoom(memory::memory_use::kUpstreamResponses, kernel::byte_count(3'000'000)));
  others.push_back(
      std::make_unique<memory::memory_hold>(account, memory::memory_use::kCallerRequests));
  ASSERT_TRUE(others.back()->Resize(kernel::byte_count(3'000'000)));
  const int runs = runs_;
  RunOne(kLongTime);
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_EQ(latest_->failure, protocol::run_failure::kNoCapacity);
  EXPECT_GT(latest_->retry_after, kernel::microseconds(0));
  EXPECT_FALSE(dispatcher_->busy());
  EXPECT_EQ(runs_, runs);
  EXPECT_EQ(account->refusals(memory::memory_use::kUpstreamResponses), 1U);
  others.clear();
  latest_.reset();
  run_responses_.push_back(Response(kNoHeader));
  RunOne(kLongTime);
  http::RunUntil(daemon_.loop, [this] { return latest_.has_value(); });
  EXPECT_TRUE(latest_->response);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
