// What becomes of a caller's request while the daemon does not know its policy yet.

#include "plugins/sidecar/call_router.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr kernel::milliseconds kPatience{300};

// The reply that the last request got.
struct {
  reply_kind kind;
  kernel::milliseconds retry_after;
} given;

std::variant<call, http::whole_response> DecodeCall(http::whole_request request) {
  call decoded;
  decoded.target = std::move(request.target);
  decoded.host = "forms.example";
  decoded.time_left = kPatience;
  return decoded;
}

http::whole_response Reply(const call&, reply_kind kind, kernel::milliseconds retry_after,
                           std::string_view) {
  given = {kind, retry_after};
  return {};
}

class starting : public ::testing::Test {
 protected:
  static dialect_functions Dialect() {
    dialect_functions functions{};
    functions.decode_call = &DecodeCall;
    functions.reply = &Reply;
    return functions;
  }

  std::shared_ptr<http::pipeline_request> Ask() {
    auto request = std::make_shared<http::pipeline_request>(
        std::weak_ptr<http::internal::pipeline_connection>(), http::whole_request{"GET", "/x/"});
    router_.Handle(request);
    return request;
  }

  sidecar_test_context daemon_;
  dialect_functions dialect_ = Dialect();
  bulk_sender bulk_{daemon_.context};
  upstream_gate gate_{daemon_.context, dialect_, bulk_, [] {}};
  peer_set peers_{daemon_.context, gate_};
  call_router router_{daemon_.context, dialect_, peers_, gate_};
};

// Guards against requests that are refused, twice at most, while a herd of daemons that was
// restarted waits for its policy for a moment.
TEST_F(starting, KeepsRequestsUntilThePolicyIsThere) {
  const auto request = Ask();
  EXPECT_FALSE(request->answered());
  EXPECT_EQ(router_.in_progress(), 1U);
  router_.SetPolicy(std::make_shared<policy::policy_table>());
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(given.kind, reply_kind::kNoRoute) << "the policy has no route";
  EXPECT_EQ(router_.in_progress(), 0U);
}

// Guards against callers that are kept until it is too late to come back, when no policy comes.
TEST_F(starting, RefusesRequestsWhileTheirCallersCanComeBack) {
  const auto request = Ask();
  http::RunUntil(daemon_.loop, [&] { return request->answered(); });
  EXPECT_EQ(given.kind, reply_kind::kNotRun);
  EXPECT_GT(given.retry_after, kernel::milliseconds(0));
  EXPECT_LT(given.retry_after, kPatience / 3);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
