// Tests how a daemon receives large request bodies from another daemon, which is driven by the
// test.

#include "plugins/sidecar/peer_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plugins/greeting.h"
#include "plugins/sidecar/data_frame.h"
#include "tests/healthy_upstream.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr std::size_t kBodyBytes = 200'000;
constexpr std::size_t kLargeResponse = 8'000'000;

http::whole_request EncodeRun(const protocol::run_request& run, std::string body,
                              const kernel::upstream_id&, kernel::milliseconds) {
  return {run.method, run.target, {{"Host", "h"}}, std::move(body)};
}

upstream_response_kind ClassifyResponse(const protocol::run_request&, const http::whole_response&) {
  return upstream_response_kind::kResponse;
}

// NOLINTNEXTLINE(readability-identifier-naming)
class PeerServerTest : public ::testing::Test {
 protected:
  PeerServerTest() {
    daemon_.settings.sidecar->upstream = upstream_.endpoint();
    daemon_.settings.sidecar->peers_listen = kernel::endpoint("127.0.0.1:0");
    dialect_.encode_run = &EncodeRun;
    dialect_.classify_response = &ClassifyResponse;
    ReadHealthResponses(dialect_);
    upstream_.on_bytes = [this](http::raw_peer& peer) {
      received_by_upstream_ = peer.received;
      if (!peer.received.ends_with(Body())) return;
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    };
    dispatcher_ = std::make_unique<upstream_dispatcher>(daemon_.context, dialect_, bulk_,
                                                        [this] { server_->ReportUpstream(); });
    server_ = std::make_unique<peer_server>(daemon_.context, *dispatcher_, bulk_);
    EXPECT_TRUE(server_->Listen());
    membership::upstream_announcement announcement;
    announcement.id = kernel::upstream_id("u1");
    announcement.address = upstream_.endpoint();
    announcement.service = kernel::service_name("forms");
    announcement.slots = 1;
    AnnounceHealthy(daemon_.loop, *dispatcher_, upstream_, announcement);
    transport::link_handlers handlers;
    handlers.message = [this](const std::shared_ptr<transport::link>&, std::string_view bytes) {
      OnMessage(bytes);
    };
    handlers.closed = [this](const std::shared_ptr<transport::link>&, const std::string&) {
      link_closed_ = true;
    };
    link_ = transport::link::Connect(daemon_.loop.context(), server_->local_endpoint(), nullptr,
                                     handlers);
    http::RunUntil(daemon_.loop, [this] { return link_->is_open(); });
    const protocol::report_message greeting =
        Greeting(protocol::process_role::kSidecar, kernel::host_id("other"));
    link_->Send(codec::Encode(greeting));
  }
  ~PeerServerTest() override {
    server_->CloseAfterDrain([] {});
  }

  static std::string Body() {
    std::string body(kBodyBytes, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + i % 23);
    return body;
  }

  void OnMessage(std::string_view bytes) {
    const auto frame = ReadData(bytes);
    ASSERT_TRUE(frame);
    if (const auto* credit = std::get_if<protocol::body_credit>(&frame->message)) {
      granted_ += credit->bytes;
      if (sends_) SendPiece(credit->id, credit->bytes);
    } else if (const auto* response = std::get_if<protocol::run_response>(&frame->message)) {
      response_ = *response;
    } else if (const auto* failed = std::get_if<protocol::run_failed>(&frame->message)) {
      failed_ = *failed;
    } else if (const auto* closing = std::get_if<protocol::link_closing>(&frame->message)) {
      closing_ = *closing;
    }
  }

  void SendPiece(kernel::call_id id, std::size_t bytes) {
    const std::string piece = Body().substr(sent_, bytes);
    sent_ += piece.size();
    SendData(*link_, protocol::body_piece{id, sent_ == kBodyBytes}, piece);
  }

  void Announce(std::uint64_t id, kernel::milliseconds time_left = kernel::milliseconds(20'000)) {
    protocol::run_request run;
    run.id = kernel::call_id(id);
    run.service = kernel::service_name("forms");
    run.method = "POST";
    run.target = "/plan";
    run.time_left = run.objective_left = time_left;
    run.body_bytes = kBodyBytes;
    SendData(*link_, run);
  }

  // Sends a request whose response is sent in pieces, which the test does not acknowledge.
  void AskForLargeResponse(kernel::milliseconds time_left) {
    upstream_.on_bytes = [](http::raw_peer& peer) {
      if (!peer.received.ends_with("\r\n\r\n")) return;
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLargeResponse) +
                "\r\n\r\n" + std::string(kLargeResponse, 'x'));
    };
    protocol::run_request run;
    run.id = kernel::call_id(1);
    run.service = kernel::service_name("forms");
    run.method = "GET";
    run.target = "/run";
    run.time_left = run.objective_left = time_left;
    SendData(*link_, run);
  }

  sidecar_test_context daemon_;
  http::raw_server upstream_{daemon_.loop};
  dialect_functions dialect_{};
  bulk_sender bulk_{daemon_.context};
  std::unique_ptr<upstream_dispatcher> dispatcher_;
  std::unique_ptr<peer_server> server_;
  std::shared_ptr<transport::link> link_;
  std::string received_by_upstream_;
  std::optional<protocol::run_response> response_;
  std::optional<protocol::run_failed> failed_;
  std::optional<protocol::link_closing> closing_;
  std::size_t granted_ = 0;
  std::size_t sent_ = 0;
  // Whether pieces are sent as soon as there is credit.
  bool sends_ = true;
  bool link_closed_ = false;
};

// Guards against bodies that reach the upstream damaged or incomplete, and against a load report
// without the bodies that are to arrive.
TEST_F(PeerServerTest, RunsARequestWhenItsBodyIsComplete) {
  sends_ = false;
  Announce(1);
  http::RunUntil(daemon_.loop, [this] { return granted_ > 0; });
  EXPECT_LT(granted_, kBodyBytes / 4) << "the whole body was granted at once";
  EXPECT_EQ(server_->Load().missing_body_bytes, static_cast<std::int64_t>(kBodyBytes));
  EXPECT_FALSE(dispatcher_->busy());
  sends_ = true;
  SendPiece(kernel::call_id(1), granted_);
  http::RunUntil(daemon_.loop, [this] { return response_.has_value(); });
  EXPECT_EQ(response_->status, 200);
  EXPECT_EQ(granted_, kBodyBytes);
  EXPECT_TRUE(received_by_upstream_.ends_with(Body()));
  EXPECT_EQ(response_->load.missing_body_bytes, 0);
  EXPECT_GT(response_->load.body_bytes_per_second, 0);
}

// Guards against bodies that are received although their requests cannot run: the deadline is too
// near, or the upstream stops while they wait.
TEST_F(PeerServerTest, RefusesABodyWhoseRequestCannotRun) {
  sends_ = false;
  Announce(1, kernel::milliseconds(-1));
  http::RunUntil(daemon_.loop, [this] { return failed_.has_value(); });
  EXPECT_EQ(failed_->failure, protocol::run_failure::kNoCapacity);
  EXPECT_EQ(granted_, 0U);
  failed_.reset();
  Announce(2);
  http::RunUntil(daemon_.loop, [this] { return granted_ > 0; });
  dispatcher_->Withdraw(kernel::upstream_id("u1"), "test");
  http::RunUntil(daemon_.loop, [this] { return failed_.has_value(); });
  EXPECT_EQ(failed_->failure, protocol::run_failure::kNoUpstream);
  EXPECT_EQ(server_->Load().missing_body_bytes, 0);
}

// Guards against transfers that go on after the request was cancelled or its link closed, and
// against memory beyond the granted credit.
TEST_F(PeerServerTest, EndsTransfersOfCancelledRequestsAndClosedLinks) {
  sends_ = false;
  Announce(1);
  http::RunUntil(daemon_.loop, [this] { return granted_ > 0; });
  SendData(*link_, protocol::cancel_request{kernel::call_id(1)});
  http::RunUntil(daemon_.loop, [this] { return server_->Load().missing_body_bytes == 0; });
  granted_ = 0;
  Announce(2);
  http::RunUntil(daemon_.loop, [this] { return granted_ > 0; });
  SendPiece(kernel::call_id(2), granted_ + 1);
  http::RunUntil(daemon_.loop, [this] { return link_closed_; });
  http::RunUntil(daemon_.loop, [this] { return server_->Load().missing_body_bytes == 0; });
  EXPECT_FALSE(dispatcher_->busy());
  EXPECT_TRUE(received_by_upstream_.empty());
}

// Guards against a daemon that runs a request after it has said that it did not take it, or that
// denies one that runs.
TEST_F(PeerServerTest, SaysAtItsEndWhichRequestsItTook) {
  protocol::run_request run;
  run.id = kernel::call_id(1);
  run.service = kernel::service_name("forms");
  run.method = "GET";
  run.target = "/run";
  run.time_left = run.objective_left = kernel::milliseconds(20'000);
  SendData(*link_, run);
  http::RunUntil(daemon_.loop, [this] { return !received_by_upstream_.empty(); });
  sends_ = false;
  Announce(2);
  http::RunUntil(daemon_.loop, [this] { return granted_ > 0; });
  server_->CloseAfterDrain([] {});
  run.id = kernel::call_id(3);
  SendData(*link_, run);
  http::RunUntil(daemon_.loop, [this] { return link_closed_; });
  ASSERT_TRUE(closing_);
  EXPECT_EQ(closing_->taken, std::vector<kernel::call_id>{kernel::call_id(1)});
  EXPECT_EQ(dispatcher_->Load().queued, 0) << "the last request was taken";
}

// Guards against a response that is kept after its request's deadline for a daemon that takes
// nothing, and against a daemon that is not told that the request has run.
TEST_F(PeerServerTest, GivesUpAResponseAtTheDeadline) {
  AskForLargeResponse(kernel::milliseconds(300));
  http::RunUntil(daemon_.loop, [this] { return response_.has_value(); });
  EXPECT_FALSE(response_->last);
  EXPECT_FALSE(failed_);
  http::RunUntil(daemon_.loop, [this] { return failed_.has_value(); });
  EXPECT_EQ(failed_->failure, protocol::run_failure::kUpstreamError);
  EXPECT_EQ(failed_->load.slots, 1);
  EXPECT_TRUE(bulk_.idle());
  EXPECT_FALSE(link_closed_);
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
