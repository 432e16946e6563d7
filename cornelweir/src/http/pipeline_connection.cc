#include "cornelweir/src/http/pipeline_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "cornelweir/src/http/line_folding.h"
#include "cornelweir/src/http/pipeline_core.h"
#include "cornelweir/src/loop/unacknowledged_bytes.h"

namespace cornelweir::http::internal {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

// Requests that one connection may have in progress. Further input stays in the socket buffer.
constexpr std::size_t kMaxPipelinedRequests = 32;
// Time for which input is discarded after the last response, so that a reset does not discard a
// response that the caller has not read yet.
constexpr kernel::milliseconds kLingerTimeout{1'000};

// Time for which a server that drains waits for the first request of a new connection. The caller
// could not know that the server is draining when it opened the connection.
constexpr kernel::milliseconds kFirstRequestTimeout{500};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string SerializeHead(const whole_response& response, bool last) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status.value()) + ' ';
  head += beast_http::obsolete_reason(
      beast_http::int_to_status(static_cast<unsigned>(response.status.value())));
  head += "\r\n";
  for (const auto& [name, value] : response.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  const bool may_have_body =
      !response.status.is_interim() && response.status != 204 && response.status != 304;
  if (may_have_body) head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (last) head += "Connection: close\r\n";
  head += "\r\n";
  return head;
}

}  // namespace

pipeline_connection::pipeline_connection(std::shared_ptr<pipeline_core> core,
                                         boost::asio::ip::tcp::socket socket)
    : core_(std::move(core)),
      socket_(std::move(socket)),
      reading_(core_->buffered),
      unanswered_(core_->buffered) {}

void pipeline_connection::Start() {
  RecordActivity();
  if (core_->keep_alive_disabled()) BeginStop();
  AwaitBytes();
}

void pipeline_connection::BeginStop() {
  intake_.BeginStop(pending_.size(), parser_ != nullptr);
  if (!intake_.open()) input_ = {};
}

bool pipeline_connection::MayDispatch() const {
  return pending_.size() < kMaxPipelinedRequests &&
         unwritten_bytes_ + expected_bytes_ <= core_->limits.connection_response_bytes;
}

// A connection that only waits for a large response is read until it has input, since its end is to
// be detected.
bool pipeline_connection::MayRead() const {
  if (MayDispatch()) return true;
  return pending_.size() < kMaxPipelinedRequests && input_.empty() && !parser_ &&
         unwritten_bytes_ <= core_->limits.connection_response_bytes;
}

void pipeline_connection::RecordActivity() { used_at_ = core_->Now(); }

void pipeline_connection::AwaitBytes() {
  if (read_wait_pending_ || closed_) return;
  // Applies backpressure to the caller. A disconnect is then detected only by a failed write.
  if (!MayRead()) return;
  read_wait_pending_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->read_wait_pending_ = false;
                       if (error) return self->Close();
                       self->OnReadable();
                     });
}

void pipeline_connection::OnReadable() {
  if (closed_) return;
  error_code error;
  const std::size_t size = socket_.read_some(boost::asio::buffer(core_->read_buffer), error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
    return AwaitBytes();
  }
  if (error) return Close();
  core_->traffic.received += size;
  if (!lingering_ && intake_.open()) {
    RecordActivity();
    input_.append(core_->read_buffer.data(), size);
    Parse();
  }
  AwaitBytes();
}

void pipeline_connection::Parse() {
  const auto self = shared_from_this();
  while (!closed_ && intake_.open() && !input_.empty() && MayDispatch()) {
    if (!parser_) {
      parser_ = std::make_unique<parser>();
      parser_->header_limit(static_cast<std::uint32_t>(core_->limits.header_bytes));
      parser_->body_limit(core_->limits.body_bytes);
      parser_->eager(true);
      head_started_at_ = core_->Now();
    }
    if (!parser_->is_header_done() && !ParseHead()) return;
    error_code error;
    while (!parser_->is_done() && !input_.empty()) {
      const std::size_t consumed = parser_->put(boost::asio::buffer(input_), error);
      input_.erase(0, consumed);
      if (!CheckBufferLimit()) return;
      if (error == beast_http::error::need_more) break;
      if (error) return RefuseUnreadable(error, "the request can't be read");
      if (consumed == 0) break;
    }
    if (!parser_->is_done()) break;
    Dispatch();
  }
  if (input_.empty() || !intake_.open()) input_ = {};
}

// Parses the header once it is complete. Returns false if it is incomplete or was refused.
bool pipeline_connection::ParseHead() {
  const std::size_t end = input_.find("\r\n\r\n");
  const std::size_t size = end == std::string::npos ? input_.size() : end + 4;
  if (size > core_->limits.header_bytes) {
    Refuse(431, "the request header is too large");
    return false;
  }
  if (end == std::string::npos) return false;
  error_code error;
  const std::string_view head(input_.data(), size);
  if (HasLineFolding(head)) {
    error = beast_http::error::bad_value;
  } else {
    parser_->eager(false);
    parser_->put(boost::asio::buffer(input_.data(), size), error);
    parser_->eager(true);
  }
  if (error && error != beast_http::error::need_more) {
    RefuseUnreadable(error, "the request header can't be read");
    return false;
  }
  input_.erase(0, size);
  const request_fault fault = CheckRequestHead(parser_->get());
  if (fault.status) {
    Refuse(*fault.status, fault.reason);
    return false;
  }
  if (!parser_->is_done() && parser_->get().count(beast_http::field::expect) > 0) SendContinue();
  return true;
}

bool pipeline_connection::CheckBufferLimit() {
  reading_.Set(input_.size() + parser_->get().body().size());
  // The parser consumes a body at once. It leaves only the header of a chunk, whose size it does
  // not limit.
  if (!parser_->is_done() && input_.size() > core_->limits.header_bytes) {
    Refuse(400, "the chunk header is too large");
    return false;
  }
  if (core_->buffered->bytes() > core_->limits.total_body_bytes) {
    Refuse(503, "too many large requests are being received");
    return false;
  }
  return true;
}

void pipeline_connection::SendContinue() {
  // The socket's send buffer has space for certain only before the first response of a connection.
  if (writing_ || !pending_.empty()) return;
  error_code ignored;
  boost::asio::write(socket_, boost::asio::buffer(kContinue), ignored);
}

void pipeline_connection::Dispatch() {
  auto& message = parser_->get();
  whole_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& header : message) {
    request.headers.emplace_back(std::string(header.name_string()), std::string(header.value()));
  }
  request.body = std::move(message.body());
  unanswered_.Set(unanswered_.bytes() + request.body.size());
  request_received_ = true;
  reading_.Set(0);
  intake_.OnTaken(parser_->keep_alive());
  parser_.reset();
  auto accepted = std::make_shared<pipeline_request>(weak_from_this(), std::move(request));
  pending_.push_back(accepted);
  if (core_->handle_request) core_->handle_request(accepted);
}

void pipeline_connection::RefuseUnreadable(const error_code& error, std::string_view reason) {
  const auto status = StatusOfReadError(error);
  if (!status) return Close();
  Refuse(*status, reason);
}

void pipeline_connection::Refuse(status_code status, std::string_view reason) {
  intake_.Close();
  parser_.reset();
  input_ = {};
  reading_.Set(0);
  auto refused = std::make_shared<pipeline_request>(weak_from_this(), whole_request());
  pending_.push_back(refused);
  refused->Respond(core_->build_refusal(status, reason));
}

void pipeline_connection::OnAnswered(const pipeline_request& answered) {
  unwritten_bytes_ += answered.response_->body.size();
  if (!writing_) progress_.Begin(core_->Now(), TakenBytes());
  Flush();
}

void pipeline_connection::Flush() {
  if (writing_ || closed_ || pending_.empty() || !pending_.front()->answered_) return;
  const std::shared_ptr<pipeline_request> answered = pending_.front();
  pending_.pop_front();
  unanswered_.Set(unanswered_.bytes() - answered->body_bytes_);
  reading_.Set(parser_ ? input_.size() + parser_->get().body().size() : 0);
  Write(*answered, intake_.ClosesAfter(pending_.size()));
}

void pipeline_connection::Write(pipeline_request& answered, bool last) {
  writing_ = true;
  write_began_at_ = core_->Now();
  accepted_bytes_ = 0;
  output_bytes_ = answered.response_->body.size();
  output_hold_ = std::move(answered.response_->hold);
  output_head_ = SerializeHead(*answered.response_, last);
  if (!answered.is_head_request_) output_body_ = std::move(answered.response_->body);
  RecordActivity();
  const std::array<boost::asio::const_buffer, 2> output{boost::asio::buffer(output_head_),
                                                        boost::asio::buffer(output_body_)};
  boost::asio::async_write(
      socket_, output,
      [self = shared_from_this(), completion = boost::asio::transfer_all()](
          const error_code& error, std::size_t accepted) mutable {
        self->accepted_bytes_ = accepted;
        return completion(error, accepted);
      },
      [self = shared_from_this(), last](const error_code& error, std::size_t sent) {
        self->core_->traffic.sent += sent;
        self->writing_ = false;
        if (error) return self->Close();
        self->OnWritten(last);
      });
}

void pipeline_connection::OnWritten(bool last) {
  if (closed_) return;
  unwritten_bytes_ -= output_bytes_;
  earlier_bytes_ += std::exchange(accepted_bytes_, 0);
  output_head_ = {};
  output_body_ = {};
  output_hold_.reset();
  RecordActivity();
  if (last) return Linger();
  Flush();
  if (closed_) return;
  Parse();
  AwaitBytes();
  if (core_->draining()) CloseIfIdle();
}

void pipeline_connection::Linger() {
  lingering_ = true;
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  AwaitBytes();
}

std::uint64_t pipeline_connection::TakenBytes() {
  const std::uint64_t accepted = earlier_bytes_ + accepted_bytes_;
  return accepted - std::min<std::uint64_t>(accepted, loop::UnacknowledgedBytes(socket_));
}

kernel::microseconds pipeline_connection::WriteAge(kernel::time_point now) const {
  if (!writing_) return kernel::microseconds::zero();
  return std::chrono::duration_cast<kernel::microseconds>(now - write_began_at_);
}

void pipeline_connection::CheckTimeouts(kernel::time_point now) {
  if (lingering_) {
    if (now - used_at_ > kLingerTimeout) Close();
    return;
  }
  if (writing_ && progress_.IsTooSlow(now, TakenBytes(), core_->limits.write_progress_bytes,
                                      core_->limits.write_progress_time)) {
    ++core_->slow_readers.no_progress;
    return Close();
  }
  if (parser_ && !MayDispatch()) {
    // Nothing is read meanwhile, so the caller can't be late. The time of a write is limited above.
    RecordActivity();
    head_started_at_ = now;
  } else if (parser_ && !parser_->is_header_done()) {
    if (now - head_started_at_ > core_->limits.header_timeout) {
      Refuse(408, "the request header took too long");
    }
  } else if (parser_) {
    if (now - used_at_ > core_->limits.body_timeout) Refuse(408, "the request body took too long");
  } else if (core_->draining()) {
    CloseIfIdle();
  } else if (idle() && now - used_at_ > core_->limits.idle_timeout) {
    Linger();
    RecordActivity();
  }
}

void pipeline_connection::CloseIfIdle() {
  if (!idle() || lingering_) return;
  if (!request_received_ && core_->Now() - used_at_ < kFirstRequestTimeout) return;
  // A request that has already arrived is served before the connection is closed.
  error_code error;
  if (socket_.available(error) > 0 && !error) return;
  intake_.Close();
  RecordActivity();
  Linger();
}

void pipeline_connection::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  unanswered_.Set(0);
  reading_.Set(0);
  error_code ignored;
  socket_.close(ignored);
  const auto unfinished = std::exchange(pending_, {});
  core_->Remove(self);
  for (const auto& request : unfinished) {
    if (request->answered_) {
      request->response_.reset();
      continue;
    }
    request->answered_ = true;
    if (const auto callback = std::exchange(request->on_caller_gone_, nullptr)) callback();
  }
}

}  // namespace cornelweir::http::internal
