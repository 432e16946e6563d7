// Tests uploads whose callers disconnect midway, from the caller's daemon to
// that of the upstream.

#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plugins/sidecar/call_router.h"
#include "plugins/sidecar/peer_server.h"
#include "plugins/sidecar/peer_set.h"
#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr std::size_t kBodyBytes = std::size_t{4} << 20;
constexpr kernel::milliseconds kTimeout{60'000};

std::variant<call, http::whole_response> DecodeCall(http::whole_request request) {
  call decoded;
  decoded.method = std::move(request.method);
  decoded.target = std::move(request.target);
  decoded.host = "forms.example";
  decoded.body = std::move(request.body);
  decoded.time_left = kTimeout;
  return decoded;
}

http::whole_response Reply(const call&, reply_kind, kernel::milliseconds, std::string_view) {
  return {503};
}

http::whole_request EncodeRun(const protocol::run_request& run, std::string body,
                              const kernel::upstream_id&, kernel::milliseconds) {
  return {run.method, run.target, {{"Host", "h"}}, std::move(body)};
}

upstream_response_kind ClassifyResponse(const protocol::run_request&, const http::whole_response&) {
  return upstream_response_kind::kResponse;
}

dialect_functions Dialect() {
  dialect_functions functions{};
  functions.decode_call = &DecodeCall;
  functions.reply = &Reply;
  functions.encode_run = &EncodeRun;
  functions.classify_response = &ClassifyResponse;
  ReadHealthResponses(functions);
  return functions;
}

// What a daemon has, on a loop that it shares with another one.
struct daemon_parts {
  daemon_parts(loop::event_loop& loop, const kernel::endpoint& upstream) : admin(loop) {
    settings.sidecar.emplace();
    settings.sidecar->service = kernel::service_name("forms");
    settings.sidecar->upstream = upstream;
    settings.sidecar->peers_listen = kernel::endpoint("127.0.0.1:0");
    context.emplace(daemon_context{loop, settings, admin, metrics, random, clock, pauses, nullptr});
    bulk.emplace(*context);
    dispatcher.emplace(*context, dialect, *bulk, [this] {
      if (server) server->ReportUpstream();
    });
    server.emplace(*context, *dispatcher, *bulk);
    EXPECT_TRUE(server->Listen());
  }

  http::admin_server admin;
  settings::daemon_settings settings;
  metrics::metrics_registry metrics;
  kernel::seeded_random random{7};
  kernel::steady_clock_source clock;
  loop::pause_tracker pauses{clock.Now()};
  const dialect_functions dialect = Dialect();
  std::optional<daemon_context> context;
  std::optional<bulk_sender> bulk;
  std::optional<upstream_dispatcher> dispatcher;
  std::optional<peer_server> server;
};

// NOLINTNEXTLINE(readability-identifier-naming)
class UploadCancelTest : public ::testing::Test {
 protected:
  UploadCancelTest() {
    upstream_.on_bytes = [this](http::raw_peer& peer) {
      received_by_upstream_ = peer.received.size();
      if (!peer.received.ends_with("end")) return;
      peer.received.clear();
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    };
    pause_timer_.StartPeriodic(loop::pause_tracker::kTickPeriod, [this] {
      entry_.pauses.Tick(entry_.clock.Now());
      remote_.pauses.Tick(remote_.clock.Now());
    });
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = upstream_.endpoint();
    announcement.service = kernel::service_name("forms");
    announcement.slots = 1;
    AnnounceHealthy(loop_, *remote_.dispatcher, upstream_, announcement);
    policy::policy_table table;
    policy::route route;
    route.host = "forms.example";
    route.path_prefix = "/";
    route.service = kernel::service_name("forms");
    route.timeout = route.latency_objective = kTimeout;
    route.retry_safety = policy::retry_safety::kUpload;
    table.routes.push_back(route);
    router_.SetPolicy(std::make_shared<policy::policy_table>(table));
    membership::roster_entry entry;
    entry.daemon = remote_.server->local_endpoint();
    entry.service = route.service;
    peers_.Start();
    peers_.Update({{entry.daemon, entry}});
    http::RunUntil(loop_, [&] { return peers_.HasOther(route.service, {}); });
    EXPECT_TRUE(callers_.Listen(kernel::endpoint("127.0.0.1:0")));
  }

  void TearDown() override {
    peers_.Stop();
    bool closed = false;
    remote_.server->CloseAfterDrain([&] { closed = true; });
    http::RunUntil(loop_, [&] { return closed; });
  }

  static std::string Request() {
    return "POST /plan HTTP/1.1\r\nHost: forms.example\r\nContent-Length: " +
           std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes - 3, 'x') + "end";
  }

  std::size_t MissingBytes() const {
    return static_cast<std::size_t>(remote_.server->Load().missing_body_bytes);
  }

  // Whether nothing of an upload is left at the two daemons.
  bool IsIdle() const {
    return router_.in_progress() == 0 && entry_.bulk->idle() && MissingBytes() == 0 &&
           !remote_.dispatcher->busy();
  }

  // Sends an upload and waits for its response.
  void UploadToEnd() {
    const auto caller = http::raw_peer::Connect(loop_, callers_.local_endpoint());
    caller->Send(Request());
    http::RunUntil(loop_, [&] { return !caller->TakeResponse().empty(); });
  }

  loop::event_loop loop_;
  loop::timer pause_timer_{loop_};
  http::raw_server upstream_{loop_};
  daemon_parts entry_{loop_, kernel::endpoint("127.0.0.1:1")};
  daemon_parts remote_{loop_, upstream_.endpoint()};
  peer_set peers_{*entry_.context, *entry_.dispatcher, *entry_.bulk};
  quota_client quota_{*entry_.context, [](const quota::quota_request&) { return false; }};
  call_router router_{*entry_.context, entry_.dialect, peers_, *entry_.dispatcher, quota_};
  http::pipeline_server callers_{
      loop_, [this](const auto& request) { router_.Handle(request); },
      [](http::status_code status, std::string_view) { return http::whole_response{status}; }};
  std::size_t received_by_upstream_ = 0;
};

// Guards against an upload that goes on between the daemons, keeps its credit
// or reaches the upstream after its caller has disconnected.
TEST_F(UploadCancelTest, EndsTheTransferOfACallerThatDisconnects) {
  const auto caller = http::raw_peer::Connect(loop_, callers_.local_endpoint());
  caller->Send(Request());
  http::RunUntil(loop_, [this] { return MissingBytes() > 0 && MissingBytes() < kBodyBytes; });
  EXPECT_EQ(router_.in_progress(), 1U);
  caller->Close();
  http::RunUntil(loop_, [this] { return IsIdle(); });
  EXPECT_EQ(received_by_upstream_, 0U);
  UploadToEnd();
  EXPECT_GT(received_by_upstream_, kBodyBytes) << "the next upload did not get its credit";
}

// The same while the caller's daemon has not received the whole body.
TEST_F(UploadCancelTest, SendsNoIncompleteUpload) {
  const auto caller = http::raw_peer::Connect(loop_, callers_.local_endpoint());
  caller->Send(Request().substr(0, kBodyBytes / 2));
  http::RunUntil(loop_, [&] { return caller->sent >= kBodyBytes / 2; });
  caller->Close();
  http::RunUntil(loop_, [this] { return callers_.connections() == 0; });
  EXPECT_TRUE(IsIdle());
  EXPECT_EQ(received_by_upstream_, 0U);
  UploadToEnd();
  EXPECT_GT(received_by_upstream_, kBodyBytes);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
