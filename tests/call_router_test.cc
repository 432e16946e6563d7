// Tests of requests that arrive before the daemon has received its policy, and of requests of
// workspaces with a quota.

#include "plugins/sidecar/call_router.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr kernel::milliseconds kCallerTimeout{300};
constexpr const char* kCallerKey = "key-of-orion";

// The timeout that callers state.
kernel::milliseconds stated_timeout = kCallerTimeout;

// The reply to the latest request.
struct {
  reply_kind kind;
  kernel::milliseconds retry_after;
} last_reply;

std::variant<call, http::whole_response> DecodeCall(http::whole_request request) {
  call decoded;
  decoded.target = std::move(request.target);
  decoded.host = "forms.example";
  decoded.time_left = stated_timeout;
  decoded.key = kernel::api_key(kCallerKey);
  return decoded;
}

http::whole_response Reply(const call&, reply_kind kind, kernel::milliseconds retry_after,
                           std::string_view) {
  last_reply = {kind, retry_after};
  return {503};
}

// NOLINTNEXTLINE(readability-identifier-naming)
class CallRouterStartupTest : public ::testing::Test {
 protected:
  static dialect_functions Dialect() {
    dialect_functions functions{};
    ReadHealthResponses(functions);
    functions.decode_call = &DecodeCall;
    functions.reply = &Reply;
    functions.encode_run = [](const protocol::run_request&, std::string body,
                              const kernel::upstream_id&, kernel::milliseconds) {
      http::whole_request request;
      request.body = std::move(body);
      return request;
    };
    return functions;
  }

  ~CallRouterStartupTest() override { stated_timeout = kCallerTimeout; }

  std::shared_ptr<http::pipeline_request> HandleRequest() {
    auto request = std::make_shared<http::pipeline_request>(
        std::weak_ptr<http::internal::pipeline_connection>(), http::whole_request{"GET", "/x/"});
    router_.Handle(request);
    return request;
  }

  std::unique_ptr<http::raw_server> StartUpstream() {
    auto upstream = std::make_unique<http::raw_server>(daemon_.loop);
    daemon_.settings.sidecar->upstream = upstream->endpoint();
    return upstream;
  }

  sidecar_test_context daemon_;
  std::unique_ptr<http::raw_server> upstream_ = StartUpstream();
  dialect_functions dialect_ = Dialect();
  bulk_sender bulk_{daemon_.context};
  upstream_dispatcher dispatcher_{daemon_.context, dialect_, bulk_, [] {}};
  peer_set peers_{daemon_.context, dispatcher_, bulk_};
  // A policy with one route, and a workspace with a quota.
  static std::shared_ptr<policy::policy_table> PolicyWithQuota() {
    auto table = std::make_shared<policy::policy_table>();
    policy::route route;
    route.host = "forms.example";
    route.path_prefix = "/x/";
    route.service = kernel::service_name("forms");
    route.timeout = route.latency_objective = kernel::milliseconds(200);
    table->routes.push_back(route);
    policy::workspace orion;
    orion.name = kernel::workspace_id("orion");
    orion.keys = {kernel::api_key(kCallerKey)};
    orion.rate = kernel::request_rate(1'000);
    table->workspaces.push_back(orion);
    return table;
  }

  // Sets a policy with one route, to the upstream on this host.
  void UseOneUpstream() {
    policy::policy_table table;
    policy::route route;
    route.host = "forms.example";
    route.path_prefix = "/x/";
    route.service = kernel::service_name("forms");
    route.timeout = route.latency_objective = kernel::milliseconds(5'000);
    table.routes.push_back(route);
    router_.SetPolicy(std::make_shared<policy::policy_table>(table));
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = daemon_.settings.sidecar->upstream;
    announcement.service = route.service;
    announcement.slots = 1;
    AnnounceHealthy(daemon_.loop, dispatcher_, *upstream_, announcement);
    // It refuses connections from here on.
    upstream_.reset();
  }

  // Answers the latest request for tokens.
  void Grant(std::int64_t tokens, bool pending = false) {
    const quota::quota_request request = quota_requests_.back();
    ASSERT_EQ(request.entries.size(), 1U);
    quota_.OnGrant({request.nonce,
                    {{request.entries[0].workspace, kernel::request_count(tokens),
                      kernel::milliseconds(3'000), kernel::milliseconds(1'500), pending}}});
  }

  std::vector<quota::quota_request> quota_requests_;
  quota_client quota_{daemon_.context, [this](const quota::quota_request& request) {
                        quota_requests_.push_back(request);
                        return true;
                      }};
  call_router router_{daemon_.context, dialect_, peers_, dispatcher_, quota_};
};

// Guards against refusing requests, up to twice each, in the short time until many daemons that
// were restarted together receive their policy.
TEST_F(CallRouterStartupTest, DefersRequestsUntilThePolicyArrives) {
  const auto request = HandleRequest();
  EXPECT_FALSE(request->answered());
  EXPECT_EQ(router_.in_progress(), 1U);
  router_.SetPolicy(std::make_shared<policy::policy_table>());
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(last_reply.kind, reply_kind::kNoRoute) << "the policy has no route";
  EXPECT_EQ(router_.in_progress(), 0U);
}

// Guards against deferring requests until their callers have no time left for a retry when no
// policy arrives.
TEST_F(CallRouterStartupTest, RefusesDeferredRequestsInTimeForARetry) {
  const auto request = HandleRequest();
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  EXPECT_GT(last_reply.retry_after, kernel::milliseconds(0));
  EXPECT_LT(last_reply.retry_after, kCallerTimeout / 3);
}

// Guards against callers that are refused together, return together and are refused again.
TEST_F(CallRouterStartupTest, SpreadsTheRetriesOfRequestsRefusedTogether) {
  daemon_.pauses = loop::pause_tracker(daemon_.clock.Now() - 2 * kCallerTimeout);
  std::set<kernel::milliseconds> delays;
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(HandleRequest()->answered());
    delays.insert(last_reply.retry_after);
  }
  EXPECT_GE(delays.size(), 4U);
  EXPECT_GE(*delays.begin(), kernel::milliseconds(20));
  EXPECT_LE(*delays.rbegin(), kernel::milliseconds(30));
}

// Guards against running a request whose caller gave up while this process was paused: it is read
// only afterwards, with the time limit that it had when it was sent.
TEST_F(CallRouterStartupTest, RefusesARequestThatWaitedTooLongDuringAPause) {
  UseOneUpstream();
  daemon_.pauses = loop::pause_tracker(daemon_.clock.Now() - 2 * kCallerTimeout);
  const auto request = HandleRequest();
  EXPECT_TRUE(request->answered());
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  EXPECT_EQ(dispatcher_.Load().in_progress, 0);
}

// Guards against sending a request whose caller disconnected while this process was paused: the end
// of its connection is read after the request.
TEST_F(CallRouterStartupTest, DoesNotSendARequestWhoseCallerLeftDuringAPause) {
  UseOneUpstream();
  stated_timeout = kernel::milliseconds(5'000);
  http::pipeline_server callers(
      daemon_.loop, [this](const auto& request) { router_.Handle(request); },
      [](http::status_code status, std::string_view) { return http::whole_response{status}; });
  ASSERT_TRUE(callers.Listen(kernel::endpoint("127.0.0.1:0")));
  const auto caller = http::raw_peer::Connect(daemon_.loop, callers.local_endpoint());
  http::RunUntil(daemon_.loop, [&] { return callers.connections() == 1; });
  daemon_.pauses = loop::pause_tracker(daemon_.clock.Now() - kernel::milliseconds(1'000));
  caller->Send("GET /x/ HTTP/1.1\r\nHost: forms.example\r\n\r\n");
  caller->CloseWhenSent();
  http::RunUntil(daemon_.loop, [this] { return router_.in_progress() == 1; });
  http::RunUntil(daemon_.loop, [this] { return router_.in_progress() == 0; });
  EXPECT_FALSE(dispatcher_.busy()) << "the request was sent on";
}

// Guards against a key that stays in use at a daemon that does not hear of its withdrawal, where
// the settings ask for strict revocation.
TEST_F(CallRouterStartupTest, RefusesKeysOfAPolicyThatNoOneConfirms) {
  policy::policy_table table;
  policy::workspace workspace;
  workspace.name = kernel::workspace_id("w1");
  workspace.keys.emplace_back(kCallerKey);
  table.workspaces.push_back(workspace);
  router_.SetPolicy(std::make_shared<policy::policy_table>(table));
  HandleRequest();
  EXPECT_EQ(last_reply.kind, reply_kind::kNoRoute);
  daemon_.settings.sidecar->strict_key_revocation = true;
  router_.OnPolicyConfirmed(daemon_.clock.Now() - daemon_.settings.sidecar->max_policy_age);
  HandleRequest();
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  router_.OnPolicyConfirmed(daemon_.clock.Now());
  HandleRequest();
  EXPECT_EQ(last_reply.kind, reply_kind::kNoRoute);
}

// Guards against running requests beyond the quota, and against asking the owner about each.
TEST_F(CallRouterStartupTest, RefusesRequestsBeyondTheQuota) {
  router_.SetPolicy(PolicyWithQuota());
  quota_.OnLinkChanged(true);
  const auto first = HandleRequest();
  const auto second = HandleRequest();
  http::RunUntil(daemon_.loop, [&] { return !quota_requests_.empty(); });
  EXPECT_EQ(quota_requests_[0].entries.at(0).wanted, kernel::request_count(2));
  EXPECT_FALSE(first->answered());
  Grant(0);
  EXPECT_TRUE(first->answered() && second->answered());
  EXPECT_EQ(last_reply.kind, reply_kind::kQuotaExceeded);
  EXPECT_GT(last_reply.retry_after, kernel::milliseconds(1'400));
  EXPECT_TRUE(HandleRequest()->answered());
  EXPECT_EQ(last_reply.kind, reply_kind::kQuotaExceeded);
  EXPECT_EQ(quota_requests_.size(), 1U);
}

// Guards against requests that wait for an owner that does not answer until their callers give up,
// or that run without a token.
TEST_F(CallRouterStartupTest, RefusesRequestsAsNotRunIfTheOwnerIsSilent) {
  router_.SetPolicy(PolicyWithQuota());
  const kernel::time_point sent_at = daemon_.clock.Now();
  const auto request = HandleRequest();
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  EXPECT_GT(last_reply.retry_after, kernel::milliseconds(0));
  EXPECT_LT(daemon_.clock.Now() - sent_at, kernel::milliseconds(190)) << "half of the objective";
}

// Guards against 429 responses, or an early refusal, because the owner is new and has no tokens
// yet.
TEST_F(CallRouterStartupTest, WaitsForANewOwnerAndThenRefusesRequestsAsNotRun) {
  router_.SetPolicy(PolicyWithQuota());
  quota_.OnLinkChanged(true);
  const auto request = HandleRequest();
  http::RunUntil(daemon_.loop, [&] { return !quota_requests_.empty(); });
  Grant(0, true);
  EXPECT_FALSE(request->answered());
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
}

// Guards against a quota that shrinks by requests that found no upstream.
TEST_F(CallRouterStartupTest, ReusesTheTokenOfARequestThatDidNotRun) {
  router_.SetPolicy(PolicyWithQuota());
  quota_.OnLinkChanged(true);
  for (int i = 0; i < 2; ++i) {
    const auto request = HandleRequest();
    if (i == 0) {
      http::RunUntil(daemon_.loop, [&] { return !quota_requests_.empty(); });
      Grant(1);
    }
    http::RunUntil(daemon_.loop, [&] { return request->answered(); });
    EXPECT_EQ(last_reply.kind, reply_kind::kNotRun) << "no upstream";
  }
  EXPECT_EQ(quota_requests_.size(), 1U);
}

// Guards against running a request whose response has no room, and against refusing it without a
// time to come back or as one that may have run.
TEST_F(CallRouterStartupTest, RefusesARequestWhoseResponseHasNoRoom) {
  UseOneUpstream();
  memory::memory_hold others(daemon_.context.memory, memory::memory_use::kLinkTransfers);
  const std::int64_t limit = daemon_.context.memory->limit().value();
  ASSERT_TRUE(others.Resize(kernel::byte_count(limit * 80 / 100)));
  std::vector<std::unique_ptr<memory::memory_hold>> rest;
  while (
      daemon_.context.memory->HasRoom(memory::memory_use::kLinkTransfers, memory::kMaxSmallHold)) {
    rest.push_back(std::make_unique<memory::memory_hold>(daemon_.context.memory,
                                                         memory::memory_use::kLinkTransfers));
    ASSERT_TRUE(rest.back()->Resize(memory::kMaxSmallHold));
  }
  const auto request = HandleRequest();
  EXPECT_TRUE(request->answered());
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  EXPECT_GT(last_reply.retry_after, kernel::milliseconds(0));
  EXPECT_EQ(daemon_.context.memory->refusals(memory::memory_use::kCallerResponses), 1U);
  EXPECT_FALSE(dispatcher_.busy());
  rest.pop_back();
  EXPECT_FALSE(HandleRequest()->answered());
  EXPECT_TRUE(dispatcher_.busy());
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
