// Tests which requests of callers a daemon that stops takes, and how those end that it took.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "plugins/sidecar/call_router.h"
#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

using kernel::milliseconds;

// The timeout that the next caller states, and the reply to the latest request.
milliseconds stated_timeout;
reply_kind last_reply;
milliseconds last_retry_after;

std::variant<call, http::whole_response> DecodeCall(http::whole_request request) {
  call decoded;
  decoded.target = std::move(request.target);
  decoded.host = "forms.example";
  decoded.time_left = stated_timeout;
  return decoded;
}

http::whole_response Reply(const call&, reply_kind kind, milliseconds retry_after,
                           std::string_view) {
  last_reply = kind;
  last_retry_after = retry_after;
  return {503};
}

http::whole_request EncodeRun(const protocol::run_request& run, std::string body,
                              const kernel::upstream_id&, milliseconds) {
  return {run.method, run.target, {{"Host", "h"}}, std::move(body)};
}

// A router and an upstream that never answers.
// NOLINTNEXTLINE(readability-identifier-naming)
class CallRouterStopTest : public ::testing::Test {
 protected:
  CallRouterStopTest() {
    daemon_.settings.sidecar->upstream = upstream_.endpoint();
    dialect_.decode_call = &DecodeCall;
    ReadHealthResponses(dialect_);
    dialect_.reply = &Reply;
    dialect_.encode_run = &EncodeRun;
    dispatcher_ = std::make_unique<upstream_dispatcher>(daemon_.context, dialect_, bulk_, [] {});
    peers_ = std::make_unique<peer_set>(daemon_.context, *dispatcher_, bulk_);
    router_ =
        std::make_unique<call_router>(daemon_.context, dialect_, *peers_, *dispatcher_, quota_);
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = upstream_.endpoint();
    announcement.service = kernel::service_name("forms");
    announcement.slots = 4;
    AnnounceHealthy(daemon_.loop, *dispatcher_, upstream_, announcement);
  }

  // Sets a policy with one route, to the upstream on this host.
  void SetPolicy(policy::retry_safety safety) {
    auto table = std::make_shared<policy::policy_table>();
    policy::route route;
    route.host = "forms.example";
    route.path_prefix = "/x/";
    route.service = kernel::service_name("forms");
    route.timeout = route.latency_objective = milliseconds(10'000);
    route.retry_safety = safety;
    table->routes.push_back(route);
    router_->SetPolicy(table);
  }

  std::shared_ptr<http::pipeline_request> Handle(milliseconds timeout) {
    stated_timeout = timeout;
    auto request = std::make_shared<http::pipeline_request>(
        std::weak_ptr<http::internal::pipeline_connection>(), http::whole_request{"GET", "/x/"});
    router_->Handle(request);
    return request;
  }

  sidecar_test_context daemon_;
  http::raw_server upstream_{daemon_.loop};
  dialect_functions dialect_{};
  bulk_sender bulk_{daemon_.context};
  quota_client quota_{daemon_.context, [](const quota::quota_request&) { return true; }};
  std::unique_ptr<upstream_dispatcher> dispatcher_;
  std::unique_ptr<peer_set> peers_;
  std::unique_ptr<call_router> router_;
};

// Guards against a request that must not be repeated and is cut, because a daemon that stops took
// it although its time limit ended later than the process.
TEST_F(CallRouterStopTest, RefusesWhatMayOutlastTheDaemon) {
  SetPolicy(policy::retry_safety::kNonIdempotent);
  router_->BeginStop(daemon_.clock.Now() + milliseconds(2'000));
  EXPECT_TRUE(Handle(milliseconds(4'000))->answered());
  EXPECT_EQ(last_reply, reply_kind::kNotRun);
  EXPECT_GT(last_retry_after, milliseconds(0));
  EXPECT_FALSE(dispatcher_->busy());
  EXPECT_FALSE(Handle(milliseconds(1'000))->answered()) << "it ends before the daemon";
  EXPECT_TRUE(dispatcher_->busy());
}

// Guards against refusing a request that may be repeated and that the daemon can serve in most
// cases, and against one without a final answer when the process ends.
TEST_F(CallRouterStopTest, ShortensTheTimeLimitOfWhatMayBeRepeated) {
  SetPolicy(policy::retry_safety::kIdempotent);
  const kernel::time_point finish_at = daemon_.clock.Now() + milliseconds(100);
  router_->BeginStop(finish_at);
  dispatcher_->RefuseRunsBeyond(finish_at);
  const auto request = Handle(milliseconds(4'000));
  EXPECT_TRUE(dispatcher_->busy()) << "the upstream got it, within the shorter time limit";
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(last_reply, reply_kind::kTimeout);
}

// Guards against callers whose connections are cut without an answer at the end of the grace
// period, and against the promise "not run" for a request that may have run.
TEST_F(CallRouterStopTest, GivesEveryRequestAFinalAnswer) {
  const auto waiting = Handle(milliseconds(4'000));
  EXPECT_FALSE(waiting->answered()) << "there is no policy yet";
  router_->EndAll();
  EXPECT_TRUE(waiting->answered());
  EXPECT_EQ(last_reply, reply_kind::kNotRun);
  SetPolicy(policy::retry_safety::kNonIdempotent);
  const auto running = Handle(milliseconds(4'000));
  EXPECT_TRUE(dispatcher_->busy());
  router_->EndAll();
  EXPECT_TRUE(running->answered());
  EXPECT_EQ(last_reply, reply_kind::kTimeout);
  EXPECT_EQ(router_->in_progress(), 0U);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
