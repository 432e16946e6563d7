#include "cornelweir/src/http/pipeline_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "cornelweir/src/http/pipeline_core.h"

namespace cornelweir::http::internal {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

// Requests that one connection may have in progress. Further bytes wait in the socket.
constexpr std::size_t kMaxPipelined = 32;
// How long a connection is read after the last response, so that a reset does not destroy a
// response that the caller has not read yet.
constexpr kernel::milliseconds kLingerTime{1'000};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Whether a line of the header continues on the next one. RFC 9112 has deprecated this, and readers
// that disagree about it can be made to see different requests.
bool HasFolding(std::string_view head) {
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

std::string HeadOf(const whole_response& response, bool last) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
  head += beast_http::obsolete_reason(
      beast_http::int_to_status(static_cast<unsigned>(std::clamp(response.status, 100, 599))));
  head += "\r\n";
  for (const auto& [name, value] : response.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  const bool may_have_body =
      response.status >= 200 && response.status != 204 && response.status != 304;
  if (may_have_body) head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (last) head += "Connection: close\r\n";
  head += "\r\n";
  return head;
}

}  // namespace

pipeline_connection::pipeline_connection(std::shared_ptr<pipeline_core> core,
                                         boost::asio::ip::tcp::socket socket)
    : core_(std::move(core)), socket_(std::move(socket)) {}

void pipeline_connection::Start() {
  Touch();
  AwaitBytes();
}

void pipeline_connection::Touch() { touched_ = core_->Now(); }

void pipeline_connection::AwaitBytes() {
  if (waiting_ || closed_) return;
  // The caller is kept from sending more, but then its leaving is noticed by a write only.
  if (pending_.size() >= kMaxPipelined) return;
  waiting_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->waiting_ = false;
                       if (error) return self->Close();
                       self->OnReadable();
                     });
}

void pipeline_connection::OnReadable() {
  if (closed_) return;
  error_code error;
  const std::size_t size = socket_.read_some(boost::asio::buffer(core_->scratch), error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
    return AwaitBytes();
  }
  if (error) return Close();
  if (!lingering_ && !last_read_) {
    Touch();
    input_.append(core_->scratch.data(), size);
    Parse();
  }
  AwaitBytes();
}

void pipeline_connection::Parse() {
  const auto self = shared_from_this();
  while (!closed_ && !last_read_ && !input_.empty() && pending_.size() < kMaxPipelined) {
    if (!parser_) {
      parser_ = std::make_unique<parser>();
      parser_->header_limit(static_cast<std::uint32_t>(core_->limits.header_bytes));
      parser_->body_limit(core_->limits.body_bytes);
      parser_->eager(true);
      head_began_ = core_->Now();
    }
    if (!parser_->is_header_done() && !ParseHead()) return;
    error_code error;
    while (!parser_->is_done() && !input_.empty()) {
      const std::size_t consumed = parser_->put(boost::asio::buffer(input_), error);
      input_.erase(0, consumed);
      if (error == beast_http::error::need_more) break;
      if (error) return Refuse(StatusOfReadError(error), "the request can't be read");
      if (consumed == 0) break;
    }
    if (!parser_->is_done()) break;
    Dispatch();
  }
  if (input_.empty()) input_.shrink_to_fit();
}

// Reads the header once it is complete. False if it is not, or was refused.
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
  if (HasFolding(head)) {
    error = beast_http::error::bad_value;
  } else {
    parser_->eager(false);
    parser_->put(boost::asio::buffer(input_.data(), size), error);
    parser_->eager(true);
  }
  if (error && error != beast_http::error::need_more) {
    Refuse(StatusOfReadError(error), "the request header can't be read");
    return false;
  }
  input_.erase(0, size);
  const request_fault fault = CheckRequestHead(parser_->get());
  if (fault.status != 0) {
    Refuse(fault.status, fault.reason);
    return false;
  }
  if (!parser_->is_done() && parser_->get().count(beast_http::field::expect) > 0) SendContinue();
  return true;
}

void pipeline_connection::SendContinue() {
  // Only before the first response of a connection is the socket's buffer known to have room.
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
  last_read_ = !parser_->keep_alive();
  parser_.reset();
  auto accepted = std::make_shared<pipeline_request>(weak_from_this(), std::move(request));
  pending_.push_back(accepted);
  if (core_->handle) core_->handle(accepted);
}

void pipeline_connection::Refuse(int status, std::string_view reason) {
  if (status == 0) return Close();
  last_read_ = true;
  parser_.reset();
  input_ = {};
  auto refused = std::make_shared<pipeline_request>(weak_from_this(), whole_request());
  pending_.push_back(refused);
  refused->Respond(core_->refuse(status, reason));
}

void pipeline_connection::Flush() {
  if (writing_ || closed_ || pending_.empty() || !pending_.front()->answered_) return;
  const std::shared_ptr<pipeline_request> answered = pending_.front();
  pending_.pop_front();
  // What was sent behind a response that closes the connection counts as not read, so it must not
  // have been handed out: the last response is that of the last request in progress.
  const bool last = pending_.empty() && (last_read_ || (core_->last_responses() && !parser_));
  Write(*answered, last);
}

void pipeline_connection::Write(pipeline_request& answered, bool last) {
  writing_ = true;
  if (last) last_read_ = true;
  output_head_ = HeadOf(answered.response_, last);
  if (!answered.is_head_) output_body_ = std::move(answered.response_.body);
  Touch();
  const std::array<boost::asio::const_buffer, 2> output{boost::asio::buffer(output_head_),
                                                        boost::asio::buffer(output_body_)};
  boost::asio::async_write(socket_, output,
                           [self = shared_from_this(), last](const error_code& error, std::size_t) {
                             self->writing_ = false;
                             if (error) return self->Close();
                             self->OnWritten(last);
                           });
}

void pipeline_connection::OnWritten(bool last) {
  if (closed_) return;
  output_head_ = {};
  output_body_ = {};
  Touch();
  if (last) return Linger();
  Flush();
  if (closed_ || last_read_) return;
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

void pipeline_connection::CheckTime(kernel::time_point now) {
  if (lingering_) {
    if (now - touched_ > kLingerTime) Close();
    return;
  }
  if (parser_ && !parser_->is_header_done()) {
    if (now - head_began_ > core_->limits.header_timeout) {
      Refuse(408, "the request header took too long");
    }
  } else if (parser_) {
    if (now - touched_ > core_->limits.body_timeout) Refuse(408, "the request body took too long");
  } else if (idle() && now - touched_ > core_->limits.idle_timeout) {
    Linger();
    Touch();
  }
}

void pipeline_connection::CloseIfIdle() {
  if (!idle() || lingering_) return;
  // A request that has arrived already is served before the connection ends.
  error_code error;
  if (socket_.available(error) > 0 && !error) return;
  last_read_ = true;
  Touch();
  Linger();
}

void pipeline_connection::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  const auto abandoned = std::exchange(pending_, {});
  core_->Remove(self);
  for (const auto& request : abandoned) {
    if (request->answered_) continue;
    request->answered_ = true;
    if (const auto gone = std::exchange(request->on_gone_, nullptr)) gone();
  }
}

}  // namespace cornelweir::http::internal
