// Tests requests to another daemon that is silent for a while or sends large or endless bodies, and
// large request bodies, which are sent on credit.

#include "plugins/sidecar/peer.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelweir/memory.h"
#include "plugins/sidecar/data_frame.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr kernel::microseconds kIdleProbePeriod = std::chrono::seconds(1);

// A peer and the daemon at its other end, which is driven by the test.
// NOLINTNEXTLINE(readability-identifier-naming)
class PeerTest : public ::testing::Test {
 protected:
  PeerTest() : maintenance_(daemon_.loop) {
    transport::link_handlers handlers;
    handlers.message = [this](const std::shared_ptr<transport::link>& link,
                              std::string_view bytes) { OnMessage(link, bytes); };
    handlers.closed = [this](const std::shared_ptr<transport::link>&, const std::string&) {
      link_closed_ = true;
    };
    auto opened = transport::listener::Open(daemon_.loop.context(), kernel::endpoint("127.0.0.1:0"),
                                            nullptr, std::move(handlers));
    EXPECT_TRUE(opened);
    listener_ = opened.value();
    membership::roster_entry entry;
    entry.daemon = listener_->local_endpoint();
    peer_ = std::make_unique<peer>(daemon_.context, entry, nullptr, bulk_);
    maintenance_.StartPeriodic(std::chrono::milliseconds(20), [this] {
      daemon_.pauses.Tick(daemon_.clock.Now());
      peer_->Maintain(kIdleProbePeriod);
    });
    http::RunUntil(daemon_.loop, [this] { return peer_->Serves(kernel::service_name("forms")); });
  }
  ~PeerTest() override { listener_->Close(); }

  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view bytes) {
    if (!link_) {
      link_ = link;
      protocol::upstream_report report;
      report.service = kernel::service_name("forms");
      report.accepting = true;
      report.load.slots = 4;
      SendData(*link, report);
      return;
    }
    const auto frame = ReadData(bytes);
    ASSERT_TRUE(frame);
    if (const auto* run = std::get_if<protocol::run_request>(&frame->message)) {
      received_.push_back(run->id);
      body_bytes_ = run->body_bytes;
      body_received_ += frame->payload.size();
    } else if (const auto* piece = std::get_if<protocol::body_piece>(&frame->message)) {
      body_received_ += frame->payload.size();
      body_ended_ = piece->last;
      SendData(*link, protocol::body_piece_ack{piece->id});
    } else if (const auto* cancel = std::get_if<protocol::cancel_request>(&frame->message)) {
      cancelled_.push_back(cancel->id);
    } else if (const auto* probe = std::get_if<protocol::link_probe>(&frame->message)) {
      if (answers_probes_) SendData(*link, *probe);
    }
  }

  kernel::call_id Run(policy::retry_safety safety, std::optional<run_result>& result,
                      std::string body = "") {
    protocol::run_request run;
    run.service = kernel::service_name("forms");
    run.retry_safety = safety;
    run.time_left = std::chrono::seconds(20);
    return peer_->Run(run, std::make_shared<const std::string>(std::move(body)),
                      [&result](run_result ended) { result = std::move(ended); });
  }

  sidecar_test_context daemon_;
  bulk_sender bulk_{daemon_.context};
  loop::timer maintenance_;
  std::shared_ptr<transport::listener> listener_;
  std::shared_ptr<transport::link> link_;
  std::unique_ptr<peer> peer_;
  std::vector<kernel::call_id> received_;
  std::vector<kernel::call_id> cancelled_;
  std::uint64_t body_bytes_ = 0;
  std::size_t body_received_ = 0;
  bool body_ended_ = false;
  bool answers_probes_ = true;
  bool link_closed_ = false;
};

// Guards against giving up a request that must not run twice because its daemon was silent for a
// while. Its response arrives late, but in time.
TEST_F(PeerTest, WaitsForASilentDaemonIfTheRequestMustNotRunTwice) {
  std::optional<run_result> once;
  std::optional<run_result> repeatable;
  const kernel::call_id id = Run(policy::retry_safety::kNonIdempotent, once);
  const kernel::call_id abandoned = Run(policy::retry_safety::kIdempotent, repeatable);
  http::RunUntil(daemon_.loop, [this] { return received_.size() == 2; });
  answers_probes_ = false;
  http::RunUntil(daemon_.loop, [&] { return repeatable.has_value(); });
  EXPECT_EQ(repeatable->failure, protocol::run_failure::kUpstreamError);
  EXPECT_FALSE(once) << "the request was given up";
  EXPECT_FALSE(peer_->Serves(kernel::service_name("forms")));

  protocol::run_response response;
  response.id = id;
  response.status = 200;
  SendData(*link_, response, "late");
  http::RunUntil(daemon_.loop, [&] { return once.has_value(); });
  ASSERT_TRUE(once->response);
  EXPECT_EQ(once->response->body, "late");
  EXPECT_TRUE(peer_->Serves(kernel::service_name("forms")));
  http::RunUntil(daemon_.loop, [this] { return !cancelled_.empty(); });
  EXPECT_EQ(cancelled_, std::vector<kernel::call_id>{abandoned});
  EXPECT_FALSE(link_closed_);
}

// Guards against unbounded memory for the response of a daemon that never ends it, and against one
// response that fails all others on its link.
TEST_F(PeerTest, EndsARequestWithAnEndlessBody) {
  std::optional<run_result> result;
  std::optional<run_result> other;
  Run(policy::retry_safety::kNonIdempotent, result);
  const kernel::call_id other_id = Run(policy::retry_safety::kNonIdempotent, other);
  http::RunUntil(daemon_.loop, [this] { return received_.size() == 2; });
  protocol::run_response response;
  response.id = received_[0];
  response.status = 200;
  response.last = false;
  SendData(*link_, response);
  const std::string piece(admission::kMaxPieceBytes, 'x');
  std::size_t sent = 0;
  loop::timer flood(daemon_.loop);
  flood.StartPeriodic(std::chrono::microseconds(1), [&] {
    if (!link_->is_open() || link_->bytes_sent() + (std::size_t{1} << 20) < sent) return;
    SendData(*link_, protocol::body_piece{received_[0], false}, piece);
    sent += piece.size();
  });
  http::RunUntil(daemon_.loop, [&] { return result.has_value(); });
  EXPECT_FALSE(result->response);
  EXPECT_EQ(result->failure, protocol::run_failure::kUpstreamError) << "it may have run";
  EXPECT_LT(sent, protocol::kMaxLinkBodyBytes + (std::size_t{16} << 20));
  EXPECT_EQ(daemon_.context.memory->taken(), kernel::byte_count(0));
  http::RunUntil(daemon_.loop, [this] { return cancelled_.size() == 1; });
  EXPECT_EQ(cancelled_[0], received_[0]);
  // What is still sent of it is not kept.
  const std::size_t sent_before = sent;
  http::RunUntil(daemon_.loop, [&] { return sent > sent_before + (std::size_t{8} << 20); });
  flood.Cancel();
  EXPECT_EQ(daemon_.context.memory->taken(), kernel::byte_count(0));
  response.id = other_id;
  response.last = true;
  SendData(*link_, response, "whole");
  http::RunUntil(daemon_.loop, [&] { return other.has_value(); });
  EXPECT_TRUE(other->response);
  EXPECT_FALSE(link_closed_);
}

// Guards against a response that is received without room for it, against a request that is
// reported as not run although it has, and against a link that is closed for it.
TEST_F(PeerTest, DropsAResponseWithoutRoom) {
  std::optional<run_result> large;
  std::optional<run_result> small;
  const kernel::call_id large_id = Run(policy::retry_safety::kNonIdempotent, large);
  const kernel::call_id small_id = Run(policy::retry_safety::kNonIdempotent, small);
  memory::memory_hold taken(daemon_.context.memory, memory::memory_use::kCallerResponses);
  const std::int64_t limit = daemon_.context.memory->limit().value();
  EXPECT_TRUE(taken.Resize(kernel::byte_count(limit * 75 / 100)));
  protocol::run_response response;
  response.id = large_id;
  response.status = 200;
  response.last = false;
  response.body_bytes = std::size_t{15} << 20;
  SendData(*link_, response);
  http::RunUntil(daemon_.loop, [&] { return large.has_value(); });
  EXPECT_FALSE(large->response);
  EXPECT_EQ(large->failure, protocol::run_failure::kUpstreamError);
  http::RunUntil(daemon_.loop, [this] { return !cancelled_.empty(); });
  EXPECT_EQ(cancelled_, std::vector<kernel::call_id>{large_id});
  EXPECT_EQ(daemon_.context.memory->refusals(memory::memory_use::kUpstreamResponses), 1U);
  response.id = small_id;
  response.last = true;
  response.body_bytes = 0;
  SendData(*link_, response, "small");
  http::RunUntil(daemon_.loop, [&] { return small.has_value(); });
  ASSERT_TRUE(small->response);
  EXPECT_EQ(small->response->body, "small");
  EXPECT_FALSE(link_closed_);
}

// Guards against a response whose bytes are not counted, before they arrive or after. A daemon of
// an older version states no size, so its response is counted by piece.
TEST_F(PeerTest, CountsTheBytesOfAResponse) {
  using memory::memory_use;
  for (const std::uint64_t stated : {std::uint64_t{100'000}, std::uint64_t{0}}) {
    std::optional<run_result> result;
    protocol::run_response response;
    response.id = Run(policy::retry_safety::kNonIdempotent, result);
    response.status = 200;
    response.last = false;
    response.body_bytes = stated;
    SendData(*link_, response);
    const auto taken = [this] {
      return daemon_.context.memory->taken(memory_use::kUpstreamResponses).value();
    };
    if (stated > 0) http::RunUntil(daemon_.loop, [&] { return taken() == 100'000; });
    SendData(*link_, protocol::body_piece{response.id, false}, std::string(60'000, 'x'));
    if (stated == 0) http::RunUntil(daemon_.loop, [&] { return taken() == 60'000; });
    SendData(*link_, protocol::body_piece{response.id, true}, std::string(40'000, 'x'));
    http::RunUntil(daemon_.loop, [&] { return result.has_value(); });
    ASSERT_TRUE(result->response);
    EXPECT_EQ(result->response->body.size(), 100'000U);
    ASSERT_TRUE(result->response->hold);
    EXPECT_EQ(result->response->hold->bytes(), kernel::byte_count(100'000));
    result.reset();
    EXPECT_EQ(taken(), 0);
  }
}

// Guards against bodies that are sent without credit, and against giving up a request as possibly
// run although its body was never sent in full.
TEST_F(PeerTest, SendsALargeBodyOnCredit) {
  std::optional<run_result> incomplete;
  std::optional<run_result> complete;
  const kernel::call_id first =
      Run(policy::retry_safety::kUpload, incomplete, std::string(100'000, 'x'));
  http::RunUntil(daemon_.loop, [this] { return received_.size() == 1; });
  EXPECT_EQ(body_bytes_, 100'000U);
  SendData(*link_, protocol::body_credit{first, 20'000});
  http::RunUntil(daemon_.loop, [this] { return body_received_ >= 20'000; });

  const kernel::call_id second =
      Run(policy::retry_safety::kUpload, complete, std::string(50'000, 'y'));
  SendData(*link_, protocol::body_credit{second, 1'000'000});
  http::RunUntil(daemon_.loop, [this] { return body_ended_; });
  EXPECT_EQ(body_received_, 70'000U) << "more of the first body was sent than granted";

  link_->Close("test");
  http::RunUntil(daemon_.loop, [&] { return incomplete && complete; });
  EXPECT_EQ(incomplete->failure, protocol::run_failure::kNoUpstream);
  EXPECT_EQ(complete->failure, protocol::run_failure::kUpstreamError) << "it may have run";
  EXPECT_TRUE(bulk_.idle());
}

// Guards against sending the rest of a body after the request was refused or cancelled, and against
// waiting for a silent daemon with a request that it cannot have run.
TEST_F(PeerTest, EndsTheTransferWithTheRequest) {
  const std::string body(100'000, 'x');
  std::optional<run_result> refused;
  std::optional<run_result> cancelled;
  std::optional<run_result> silent;
  const kernel::call_id id = Run(policy::retry_safety::kUpload, refused, body);
  SendData(*link_,
           protocol::run_failed{id, protocol::run_failure::kNoCapacity, kernel::milliseconds(70)});
  http::RunUntil(daemon_.loop, [&] { return refused.has_value(); });
  EXPECT_EQ(refused->retry_after, kernel::milliseconds(70));
  EXPECT_TRUE(bulk_.idle());

  peer_->Cancel(Run(policy::retry_safety::kUpload, cancelled, body));
  EXPECT_TRUE(bulk_.idle());
  http::RunUntil(daemon_.loop, [this] { return cancelled_.size() == 1; });

  Run(policy::retry_safety::kUpload, silent, body);
  answers_probes_ = false;
  http::RunUntil(daemon_.loop, [&] { return silent.has_value(); });
  EXPECT_EQ(silent->failure, protocol::run_failure::kNoUpstream);
  EXPECT_TRUE(bulk_.idle());
  EXPECT_FALSE(cancelled);
  EXPECT_EQ(body_received_, 0U);
}

// Guards against taking a sound upstream for one that fails, because its host dropped a response
// that the network could not carry.
TEST_F(PeerTest, DoesNotCountADroppedResponseAsAFailure) {
  const auto failure_rate = [this] {
    return peer_->Candidate(kernel::route_name("manuals"), 0).failure_rate;
  };
  const auto fail = [this](bool response_dropped) {
    std::optional<run_result> result;
    protocol::run_failed failed;
    failed.id = Run(policy::retry_safety::kDownload, result);
    failed.response_dropped = response_dropped;
    SendData(*link_, failed);
    http::RunUntil(daemon_.loop, [&] { return result.has_value(); });
    return result->response_dropped;
  };
  EXPECT_TRUE(fail(true));
  EXPECT_EQ(failure_rate(), 0);
  EXPECT_FALSE(fail(false));
  EXPECT_GT(failure_rate(), 0);
}

// Guards against a request that is lost because it crossed the end of a daemon that stops. It must
// not be sent elsewhere if the daemon took it or began to send its response.
TEST_F(PeerTest, KnowsWhichRequestsADaemonDidNotTakeBeforeItsEnd) {
  std::optional<run_result> not_taken;
  std::optional<run_result> taken;
  std::optional<run_result> partly_received;
  Run(policy::retry_safety::kNonIdempotent, not_taken);
  const kernel::call_id running = Run(policy::retry_safety::kNonIdempotent, taken);
  const kernel::call_id responding = Run(policy::retry_safety::kNonIdempotent, partly_received);
  http::RunUntil(daemon_.loop, [this] { return received_.size() == 3; });
  protocol::run_response response;
  response.id = responding;
  response.status = 200;
  response.last = false;
  SendData(*link_, response, "part");
  SendData(*link_, protocol::link_closing{{running}});
  http::RunUntil(daemon_.loop, [&] { return not_taken.has_value(); });
  EXPECT_EQ(not_taken->failure, protocol::run_failure::kNoUpstream);
  EXPECT_FALSE(taken || partly_received);
  EXPECT_FALSE(peer_->Serves(kernel::service_name("forms")));
  link_->Close("test");
  http::RunUntil(daemon_.loop, [&] { return taken && partly_received; });
  EXPECT_EQ(taken->failure, protocol::run_failure::kUpstreamError);
  EXPECT_EQ(partly_received->failure, protocol::run_failure::kUpstreamError);
}

// Guards against a response with an invalid status that a daemon, perhaps of another version,
// passes on: it must not reach the caller, and its request has run, also if the daemon stops then.
TEST_F(PeerTest, RefusesAResponseWithAnInvalidStatus) {
  for (const std::int32_t status : {-1, 0, 99, 600, 65736}) {
    for (const bool last : {false, true}) {
      std::optional<run_result> result;
      Run(policy::retry_safety::kNonIdempotent, result);
      http::RunUntil(daemon_.loop, [this] { return !received_.empty(); });
      protocol::run_response response;
      response.id = received_.back();
      response.status = status;
      response.last = last;
      SendData(*link_, response, "part");
      if (!last) SendData(*link_, protocol::link_closing{});
      http::RunUntil(daemon_.loop, [&] { return result.has_value(); });
      EXPECT_FALSE(result->response) << status;
      EXPECT_EQ(result->failure, protocol::run_failure::kUpstreamError) << status;
      received_.clear();
    }
  }
  EXPECT_FALSE(link_closed_) << "other requests on the link would fail too";
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
