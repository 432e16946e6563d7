#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cornelweir/http.h"
#include "cornelweir/loop.h"
#include "tests/http_test_support.h"

namespace cornelweir::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class admin_fixture : public testing::Test {
 protected:
  void StartServer(admin_limits limits = {}) {
    server_.emplace(loop_, limits);
    server_->Handle(method::post, "/v1/edits", [](const admin_request& request, admin_reply reply) {
      reply({200, "text/plain", request.body + "|" + std::string(request.Header("X-Name"))});
    });
    server_->Handle(method::get, "/v1/later", [this](const admin_request&, admin_reply reply) {
      held_.emplace(std::move(reply));
    });
    ASSERT_TRUE(server_->Listen(kernel::endpoint("127.0.0.1:0")));
  }

  outcome<client_response> Request(method verb, std::string_view target, std::string body) {
    std::optional<outcome<client_response>> answer;
    client_.Request(server_->local_endpoint(), verb, target, std::move(body), seconds(30),
                    [&](outcome<client_response> result) { answer = std::move(result); });
    RunUntil(loop_, [&] { return answer.has_value(); });
    return *answer;
  }

  loop::event_loop loop_;
  admin_client client_{loop_};
  std::optional<admin_reply> held_;
  std::optional<admin_server> server_;
};

TEST_F(admin_fixture, RoutesByMethodAndLongestPrefix) {
  StartServer();
  server_->Handle(method::post, "/v1", [](const admin_request&, admin_reply reply) {
    reply({202, "text/plain", "short"});
  });
  EXPECT_EQ(Request(method::post, "/v1/edits?x=1", "body").value().body, "body|");
  EXPECT_EQ(Request(method::post, "/v1/other", "").value().status, 202);
  EXPECT_EQ(Request(method::get, "/v1/edits", "").value().status, 405);
  EXPECT_EQ(Request(method::get, "/other", "").value().status, 404);
}

// Guards against a reply that is sent only if the handler answers at once.
TEST_F(admin_fixture, AnswersLater) {
  StartServer();
  std::optional<outcome<client_response>> answer;
  client_.Request(server_->local_endpoint(), method::get, "/v1/later", "", seconds(30),
                  [&](outcome<client_response> result) { answer = std::move(result); });
  RunUntil(loop_, [&] { return held_.has_value(); });
  EXPECT_FALSE(answer);
  (*held_)({200, "text/plain", "late"});
  (*held_)({200, "text/plain", "twice"});
  RunUntil(loop_, [&] { return answer.has_value(); });
  EXPECT_EQ(answer->value().body, "late");
}

}  // namespace
}  // namespace cornelweir::http
