// Tests what the command-line tool accepts as an answer of a control host.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

#include "programs/cornelweirctl/http_exchange.h"
#include "tests/http_test_support.h"
#include "tests/response_cases.h"

namespace cornelweir::ctl {
namespace {

namespace beast_http = boost::beast::http;

// NOLINTNEXTLINE(readability-identifier-naming)
class ControlHostTest : public ::testing::Test {
 protected:
  // Sends a request to the server and returns the answer, or nothing if the exchange failed.
  std::optional<http_reply> Send(beast_http::verb method, std::string body) {
    http_exchange<boost::beast::tcp_stream>::request message(method, "/", 11);
    message.set(beast_http::field::host, "h");
    message.body() = std::move(body);
    message.prepare_payload();
    bool done = false;
    std::optional<http_reply> answer;
    std::make_shared<http_exchange<boost::beast::tcp_stream>>(loop_.context())
        ->Start(http::ParseEndpoint(server_.endpoint()).value(), std::move(message),
                std::chrono::seconds(30), [&](boost::system::error_code error, http_reply reply) {
                  done = true;
                  if (!error) answer = std::move(reply);
                });
    http::RunUntil(loop_, [&] { return done; });
    return answer;
  }

  loop::event_loop loop_;
  http::raw_server server_{loop_};
};

// Guards against an invalid answer that is used, and against a valid one that is refused.
TEST_F(ControlHostTest, AnswersWithCompleteResponsesOnly) {
  for (const http::response_case& broken : http::BrokenResponses()) {
    server_.AnswerAndClose(broken.bytes);
    EXPECT_FALSE(Send(beast_http::verb::get, "")) << broken.name;
  }
  for (const http::response_case& complete : http::CompleteResponses()) {
    server_.AnswerAndClose(complete.bytes);
    const auto answer = Send(beast_http::verb::get, "");
    ASSERT_TRUE(answer) << complete.name;
    EXPECT_EQ(static_cast<int>(answer->status), *complete.status) << complete.name;
    EXPECT_EQ(answer->body, complete.body) << complete.name;
  }
}

// Guards against a part of an answer that is used as a whole one.
TEST_F(ControlHostTest, IsNotBelievedIfItResetsTheConnection) {
  server_.AnswerAndReset(http::kUnframedPart);
  for (const std::size_t bytes : {0, 300'000, 24'000'000}) {
    EXPECT_FALSE(Send(beast_http::verb::post, std::string(bytes, 'x'))) << bytes;
  }
}

}  // namespace
}  // namespace cornelweir::ctl
