// Tests of requests that arrive before the daemon has received its policy.

#include "plugins/sidecar/call_router.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>

#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr kernel::milliseconds kCallerTimeout{300};

// The reply to the latest request.
struct {
  reply_kind kind;
  kernel::milliseconds retry_after;
} last_reply;

std::variant<call, http::whole_response> DecodeCall(http::whole_request request) {
  call decoded;
  decoded.target = std::move(request.target);
  decoded.host = "forms.example";
  decoded.time_left = kCallerTimeout;
  return decoded;
}

http::whole_response Reply(const call&, reply_kind kind, kernel::milliseconds retry_after,
                           std::string_view) {
  last_reply = {kind, retry_after};
  return {};
}

// NOLINTNEXTLINE(readability-identifier-naming)
class CallRouterStartupTest : public ::testing::Test {
 protected:
  static dialect_functions Dialect() {
    dialect_functions functions{};
    functions.decode_call = &DecodeCall;
    functions.reply = &Reply;
    return functions;
  }

  std::shared_ptr<http::pipeline_request> HandleRequest() {
    auto request = std::make_shared<http::pipeline_request>(
        std::weak_ptr<http::internal::pipeline_connection>(), http::whole_request{"GET", "/x/"});
    router_.Handle(request);
    return request;
  }

  sidecar_test_context daemon_;
  dialect_functions dialect_ = Dialect();
  bulk_sender bulk_{daemon_.context};
  upstream_dispatcher dispatcher_{daemon_.context, dialect_, bulk_, [] {}};
  peer_set peers_{daemon_.context, dispatcher_};
  call_router router_{daemon_.context, dialect_, peers_, dispatcher_};
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
  ASSERT_EQ(dispatcher_.Announce(announcement), announcement_result::kAccepted);

  daemon_.pauses = loop::pause_tracker(daemon_.clock.Now() - 2 * kCallerTimeout);
  const auto request = HandleRequest();
  EXPECT_TRUE(request->answered());
  EXPECT_EQ(last_reply.kind, reply_kind::kNotRun);
  EXPECT_EQ(dispatcher_.Load().in_progress, 0);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
