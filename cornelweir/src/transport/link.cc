#include "cornelweir/src/transport/link.h"

#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

namespace cornelweir::transport {

using boost::asio::ip::tcp;
using boost::system::error_code;

bool ParseEndpoint(const kernel::endpoint& text, tcp::endpoint& parsed) {
  const std::string& value = text.value();
  const std::size_t colon = value.rfind(':');
  if (colon == std::string::npos) return false;
  error_code error;
  const auto address = boost::asio::ip::make_address(value.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = value.data() + value.size();
  const auto [parsed_end, parse_error] = std::from_chars(value.data() + colon + 1, end, port);
  if (error || parse_error != std::errc() || parsed_end != end) return false;
  parsed = tcp::endpoint(address, port);
  return true;
}

link::link(boost::asio::io_context& context, tcp::socket socket, tls_context tls, side local_side,
           link_handlers handlers)
    : context_(context),
      state_timer_(context),
      stream_(std::move(socket), std::move(tls)),
      handlers_(std::move(handlers)),
      side_(local_side) {}

std::shared_ptr<link> link::Connect(boost::asio::io_context& context,
                                    const kernel::endpoint& remote, const tls_context& tls,
                                    link_handlers handlers) {
  std::shared_ptr<link> self(
      new link(context, tcp::socket(context), nullptr, side::kClient, std::move(handlers)));
  tcp::endpoint address;
  if (!ParseEndpoint(remote, address)) {
    boost::asio::post(context,
                      [self] { self->Finish("the endpoint is not an IP address and port"); });
    return self;
  }
  self->StartStateTimer(state::kOpening, kOpenTimeout, "handshake timed out");
  auto socket = std::make_shared<tcp::socket>(context);
  self->connecting_ = socket;
  socket->async_connect(address, [self, socket, tls](error_code error) {
    if (self->state_ == state::kClosed) return;
    if (error) {
      self->Finish(error.message());
      return;
    }
    self->stream_ = internal::socket_stream(std::move(*socket), tls);
    self->StartHandshake();
  });
  return self;
}

std::shared_ptr<link> link::Accept(boost::asio::io_context& context, tcp::socket socket,
                                   const tls_context& tls, link_handlers handlers) {
  std::shared_ptr<link> self(
      new link(context, std::move(socket), tls, side::kServer, std::move(handlers)));
  self->StartStateTimer(state::kOpening, kOpenTimeout, "handshake timed out");
  self->StartHandshake();
  return self;
}

void link::StartStateTimer(state limited, std::chrono::milliseconds timeout, std::string reason) {
  state_timer_.expires_after(timeout);
  state_timer_.async_wait(
      [weak = weak_from_this(), limited, reason = std::move(reason)](error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->state_ == limited) self->Finish(reason);
      });
}

void link::StartHandshake() {
  stream_.ConfigureSocket();
  stream_.AsyncHandshake(side_ == side::kServer, [self = shared_from_this()](error_code error) {
    if (self->state_ == state::kClosed) return;
    if (error) {
      self->Finish("TLS handshake failed: " + error.message());
      return;
    }
    self->peer_role_ = self->stream_.PeerRole();
    internal::websocket_codec::callbacks callbacks;
    link* const raw = self.get();
    callbacks.write = [raw](const char* data, std::size_t size) { raw->QueueBytes(data, size); };
    callbacks.opened = [raw] {
      raw->state_ = state::kOpen;
      raw->state_timer_.cancel();
      if (raw->handlers_.opened) raw->handlers_.opened(raw->shared_from_this());
    };
    callbacks.message = [raw](const std::string& payload) {
      if (raw->state_ != state::kOpen || !raw->handlers_.message) return;
      raw->handlers_.message(raw->shared_from_this(), payload);
    };
    callbacks.pong = [raw] { raw->unanswered_pings_ = 0; };
    callbacks.closed = [raw](const std::string& reason) { raw->Finish(reason); };
    self->codec_ = std::make_unique<internal::websocket_codec>(self->side_, kMaxMessageBytes,
                                                               std::move(callbacks));
    self->codec_->Start();
    self->ReadSome();
  });
}

void link::ReadSome() {
  if (state_ == state::kClosed) return;
  stream_.AsyncReadSome([self = shared_from_this()](error_code error, std::string_view bytes) {
    if (self->state_ == state::kClosed) return;
    if (error) {
      self->Finish(error.message());
      return;
    }
    self->bytes_received_ += bytes.size();
    if (self->pings_.is_receiver) self->unanswered_pings_ = 0;
    if (self->state_ != state::kDraining) self->codec_->Feed(bytes.data(), bytes.size());
    self->ReadSome();
  });
}

bool link::Send(const std::string& payload) {
  if (state_ != state::kOpen) return false;
  if (send_queue_.size() + payload.size() > kMaxSendQueueBytes) {
    Finish("the peer does not read: its queue is full");
    return false;
  }
  return codec_->Send(payload);
}

void link::QueueBytes(const char* data, std::size_t size) {
  if (state_ == state::kClosed) return;
  send_queue_.append(data, size);
  if (write_buffer_.empty()) WriteNext();
}

void link::WriteNext() {
  if (state_ == state::kClosed) return;
  if (send_queue_.empty()) return ShutdownWhenSent();
  write_buffer_.swap(send_queue_);
  stream_.AsyncWrite(boost::asio::buffer(write_buffer_),
                     [self = shared_from_this()](error_code error, std::size_t size) {
                       self->bytes_sent_ += size;
                       // Frees a buffer that a large message grew; idle links hold none.
                       self->write_buffer_ = {};
                       if (self->state_ == state::kClosed) return;
                       if (error) {
                         self->Finish(error.message());
                         return;
                       }
                       self->WriteNext();
                     });
}

void link::ShutdownWhenSent() {
  if (state_ != state::kDraining || !send_queue_.empty() || !write_buffer_.empty()) return;
  stream_.ShutdownSend();
}

void link::StartPings(const ping_options& options) {
  pings_ = options;
  unanswered_pings_ = 0;
  PingNext();
}

// Counts pings instead of time, so that a pause of this process closes no link. While sent bytes
// are not acknowledged, the link is slow or broken, which the time limits of TCP tell apart.
void link::PingNext() {
  if (unanswered_pings_ >= pings_.max_unanswered) return Finish("the peer does not answer pings");
  if (write_buffer_.empty() && send_queue_.empty()) {
    if (stream_.UnacknowledgedBytes() == 0) ++unanswered_pings_;
    codec_->Ping();
  }
  state_timer_.expires_after(pings_.period);
  state_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->state_ == state::kOpen) self->PingNext();
  });
}

void link::Close(const std::string& reason) { Finish(reason); }

void link::CloseAfterDrain(const std::string& reason) {
  if (state_ != state::kOpen) return Finish(reason);
  state_ = state::kDraining;
  StartStateTimer(state::kDraining, kDrainTimeout, reason);
  ShutdownWhenSent();
}

void link::Finish(const std::string& reason) {
  if (state_ == state::kClosed) return;
  state_ = state::kClosed;
  state_timer_.cancel();
  stream_.Close();
  error_code ignored;
  if (const auto connecting = connecting_.lock()) connecting->close(ignored);
  // The callbacks may own the link's owner, and the codec may be the caller of this function, so
  // both are released only after the call stack has unwound.
  auto closed = std::move(handlers_.closed);
  boost::asio::post(context_, [self = shared_from_this(), closed = std::move(closed), reason] {
    self->codec_.reset();
    self->handlers_ = {};
    if (closed) closed(self, reason);
  });
}

}  // namespace cornelweir::transport
