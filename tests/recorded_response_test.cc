// Tests which recorded responses are replayed to callers that send a request again.

#include "plugins/proxy/recorded_response.h"

#include <gtest/gtest.h>

#include "plugins/proxy/request_headers.h"

namespace cornelweir::plugins::proxy {
namespace {

claims::stored_response Recorded(std::int32_t status) {
  claims::stored_response recorded;
  recorded.status = claims::response_status(status);
  recorded.content_type = "text/plain";
  recorded.body.bytes = "body";
  return recorded;
}

// Guards against a caller that gets a status such as 000, which a daemon of an earlier version has
// recorded, as the response to its request.
TEST(RecordedResponse, IsNotReplayedWithAnInvalidStatus) {
  for (const std::int32_t status : {0, 1, 99, 100, 103, 600, 999, -200}) {
    EXPECT_FALSE(ReplayOf(Recorded(status))) << status;
  }
}

// Guards against losing responses that were recorded as they should be.
TEST(RecordedResponse, IsReplayedWithItsStatus) {
  for (const std::int32_t status : {200, 201, 404, 500, 599}) {
    const auto replay = ReplayOf(Recorded(status));
    ASSERT_TRUE(replay) << status;
    EXPECT_EQ(replay->status, status);
    EXPECT_EQ(replay->body, "body");
    EXPECT_EQ(http::HeaderValue(replay->headers, kReplayedHeader), "true");
  }
}

}  // namespace
}  // namespace cornelweir::plugins::proxy
