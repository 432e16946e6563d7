#include "cornelweir/src/http/upstream_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "cornelweir/src/http/connection.h"
#include "cornelweir/src/http/endpoint_address.h"
#include "cornelweir/src/http/limits.h"

namespace cornelweir::http::internal {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr kernel::milliseconds kIdleCheckPeriod{500};
// How often a connection whose response has no room in the account asks again.
constexpr kernel::milliseconds kRoomCheckPeriod{20};
// Least size of the hold of a body whose length is not known in advance. It doubles from there, as
// the buffer of the body does.
constexpr std::size_t kFirstHoldBytes = std::size_t{64} << 10;

std::string Serialize(const whole_request& request) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  const bool has_length = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
  if (has_length) text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n";
  text += request.body;
  return text;
}

// Returns the time in seconds for which a server keeps an idle connection, from its Keep-Alive
// header, or 0 if the header does not state it.
std::int64_t KeepAliveSeconds(std::string_view header) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t begin = header.find(kTimeout);
  if (begin == std::string_view::npos) return 0;
  std::int64_t seconds = 0;
  std::from_chars(header.data() + begin + kTimeout.size(), header.data() + header.size(), seconds);
  return seconds;
}

}  // namespace

upstream_pool::upstream_pool(loop::event_loop& loop, upstream_limits connection_limits,
                             std::shared_ptr<memory::memory_account> memory_account)
    : limits(connection_limits),
      account(std::move(memory_account)),
      loop_(loop),
      idle_timer_(loop) {
  idle_timer_.StartPeriodic(kIdleCheckPeriod, [this] { CloseExpired(); });
}

std::shared_ptr<upstream_connection> upstream_pool::Acquire() {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->idle_until > Now() && connection->IsUsable()) return connection;
    connection->Close();
  }
  auto connection = std::make_shared<upstream_connection>(shared_from_this());
  open_.insert(connection);
  ++opened_connections;
  return connection;
}

void upstream_pool::ReturnIdle(const std::shared_ptr<upstream_connection>& connection) {
  idle_.push_back(connection);
}

void upstream_pool::Remove(const std::shared_ptr<upstream_connection>& connection) {
  std::erase(idle_, connection);
  open_.erase(connection);
}

void upstream_pool::CloseIdleConnections() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& connection : idle) connection->Close();
}

void upstream_pool::CloseExpired() {
  const auto idle = idle_;
  for (const auto& connection : idle) {
    if (connection->idle_until <= Now()) connection->Close();
  }
}

void upstream_pool::Close() {
  idle_timer_.Cancel();
  idle_.clear();
  const auto open = std::exchange(open_, {});
  for (const auto& connection : open) connection->Close();
}

upstream_connection::upstream_connection(const std::shared_ptr<upstream_pool>& pool)
    : pool_(pool),
      socket_(pool->event_loop().context()),
      deadline_timer_(pool->event_loop()),
      connect_timer_(pool->event_loop()),
      room_timer_(pool->event_loop()) {}

bool upstream_connection::IsUsable() {
  return !closed_ && connected_ && Peek(socket_) == socket_state::kEmpty;
}

void upstream_connection::Start(const whole_request& request, kernel::microseconds timeout,
                                std::shared_ptr<upstream_exchange> exchange) {
  exchange_ = std::move(exchange);
  exchange_->connection_ = weak_from_this();
  output_ = Serialize(request);
  is_head_request_ = request.method == "HEAD";
  write_started_ = false;
  request_progress_ = request_progress::kPartlyWritten;
  interim_count_ = stale_count_ = 0;
  BeginResponse();
  deadline_timer_.Start(timeout, [this] {
    End(write_started_ ? upstream_status::kTimeout : upstream_status::kNotSent, std::nullopt);
  });
  if (connected_) return Write();
  Connect();
}

void upstream_connection::Connect() {
  const auto pool = pool_.lock();
  if (!pool) return;
  connect_timer_.Start(pool->limits.connect_timeout, [this] {
    if (!connected_) End(upstream_status::kNotSent, std::nullopt);
  });
  socket_.async_connect(pool->endpoint, [self = shared_from_this()](const error_code& error) {
    if (self->closed_) return;
    self->connect_timer_.Cancel();
    if (error) return self->End(upstream_status::kNotSent, std::nullopt);
    error_code ignored;
    self->socket_.non_blocking(true, ignored);
    loop::ConfigureTcpSocket(self->socket_, kTcpKeepaliveOptions);
    self->connected_ = true;
    self->Write();
  });
}

// Writes the request while the response is read, since a server may respond before it has read the
// whole request.
void upstream_connection::Write() {
  write_started_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(output_),
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                             // After a failure, a response may still arrive; the read determines
                             // the result.
                             if (!error) self->request_progress_ = request_progress::kWritten;
                           });
  AwaitBytes();
}

void upstream_connection::BeginResponse() {
  const auto pool = pool_.lock();
  if (!pool) return;
  parser_ = std::make_unique<parser>(pool->limits.header_bytes);
  parser_->body_limit(pool->limits.body_bytes);
  // Stops after the header, since the parser allocates the body with its first byte.
  parser_->eager(false);
  parser_->skip(is_head_request_);
  hold_.reset();
}

void upstream_connection::AwaitBytes() {
  if (read_wait_pending_ || closed_) return;
  read_wait_pending_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->read_wait_pending_ = false;
                       if (!error) self->OnReadable();
                     });
}

void upstream_connection::OnReadable() {
  const auto pool = pool_.lock();
  if (closed_ || !pool) return;
  // No bytes are expected on an idle connection: it was closed, or holds stray bytes.
  if (!exchange_) return Close();
  error_code error;
  // Bytes that follow a header have not been taken from the account.
  const std::size_t wanted =
      parser_->is_header_done() ? pool->read_buffer.size() : pool->limits.header_bytes;
  const std::size_t size = socket_.read_some(boost::asio::buffer(pool->read_buffer, wanted), error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
    return AwaitBytes();
  }
  if (error == boost::asio::error::eof) return Parse(true);
  if (error) return End(upstream_status::kBroken, std::nullopt);
  input_.append(pool->read_buffer.data(), size);
  const auto self = shared_from_this();
  Parse(false);
  if (!closed_ && !room_timer_.running()) AwaitBytes();
}

void upstream_connection::Parse(bool at_eof) {
  const auto pool = pool_.lock();
  if (!pool) return;
  error_code error;
  while (exchange_ && !input_.empty() && !parser_->is_done()) {
    if (parser_->is_header_done()) {
      if (!TakeRoom()) return AwaitRoom();
      parser_->eager(true);
    }
    const std::size_t consumed = parser_->Put(input_, error);
    input_.erase(0, consumed);
    if (error && error != beast_http::error::need_more) {
      return End(upstream_status::kBroken, std::nullopt);
    }
    if (parser_->is_done()) {
      OnResponse();
    } else if (error || consumed == 0) {
      // The parser consumes a body at once. It leaves only an incomplete header, which it limits,
      // or the header of a chunk, which it does not.
      if (input_.size() > pool->limits.header_bytes) {
        return End(upstream_status::kBroken, std::nullopt);
      }
      break;
    }
  }
  if (!at_eof || !exchange_) return;
  parser_->PutEnd(request_progress_, error);
  if (error) return End(upstream_status::kBroken, std::nullopt);
  OnResponse();
}

bool upstream_connection::TakeRoom() {
  const auto pool = pool_.lock();
  if (!pool) return false;
  std::string& body = parser_->get().body();
  const auto length = parser_->content_length();
  const std::size_t needed =
      length ? static_cast<std::size_t>(*length) : body.size() + input_.size();
  const std::size_t held = hold_ ? static_cast<std::size_t>(hold_->bytes().value()) : 0;
  // The parser refuses a body above the limit before it stores it.
  if (needed <= held || held >= pool->limits.body_bytes) return true;
  const std::size_t wanted =
      length ? needed
             : std::min(std::max({needed, 2 * held, kFirstHoldBytes}), pool->limits.body_bytes);
  if (!hold_) {
    hold_ = std::make_shared<memory::memory_hold>(pool->account,
                                                  memory::memory_use::kUpstreamResponses);
  }
  const kernel::byte_count bytes(static_cast<std::int64_t>(wanted));
  // A response that waits counts as refused once.
  if (waits_for_room_ && !hold_->CanResize(bytes)) return false;
  waits_for_room_ = !hold_->Resize(bytes);
  if (waits_for_room_) return false;
  if (!length) body.reserve(wanted);
  return true;
}

void upstream_connection::AwaitRoom() {
  if (room_timer_.running()) return;
  room_timer_.Start(kRoomCheckPeriod, [this] {
    const auto self = shared_from_this();
    Parse(false);
    if (!closed_ && !room_timer_.running()) AwaitBytes();
  });
}

void upstream_connection::OnResponse() {
  if (parser_->status().is_interim()) {
    if (++interim_count_ > kMaxInterimResponses) return End(upstream_status::kBroken, std::nullopt);
    return BeginResponse();
  }
  whole_response response{parser_->status()};
  for (const auto& header : parser_->head()) {
    response.headers.emplace_back(std::string(header.name_string()), std::string(header.value()));
  }
  response.body = std::move(parser_->get().body());
  response.hold = std::move(hold_);
  keep_alive_ = parser_->keep_alive();
  switch (exchange_->match_(response)) {
    case response_match::kMatched:
      return End(upstream_status::kResponse, std::move(response));
    case response_match::kStale:
      if (!keep_alive_ || ++stale_count_ > kMaxStaleResponses) {
        return End(upstream_status::kBroken, std::nullopt);
      }
      return BeginResponse();
    case response_match::kUnusable:
      return End(upstream_status::kBroken, std::nullopt);
  }
}

void upstream_connection::End(upstream_status status, std::optional<whole_response> response) {
  const auto self = shared_from_this();
  const auto exchange = std::exchange(exchange_, nullptr);
  deadline_timer_.Cancel();
  connect_timer_.Cancel();
  if (response) {
    if (const auto pool = pool_.lock()) {
      const std::int64_t keep_alive_seconds =
          KeepAliveSeconds(FindHeader(response->headers, "keep-alive"));
      // The server's idle timer started earlier; half of its timeout leaves a margin for that.
      const kernel::milliseconds idle_timeout =
          keep_alive_seconds > 0
              ? std::min(pool->limits.idle_timeout, kernel::milliseconds(keep_alive_seconds * 500))
              : pool->limits.idle_timeout;
      idle_until = pool->Now() + idle_timeout;
    }
    ReturnOrClose();
  } else {
    Close();
  }
  if (!exchange || exchange->finished_) return;
  exchange->finished_ = true;
  if (response) {
    std::erase_if(response->headers,
                  [](const auto& header) { return IsHopByHopHeader(header.first); });
  }
  exchange->done_({status, std::move(response)});
}

void upstream_connection::ReturnOrClose() {
  const auto pool = pool_.lock();
  // Bytes after a complete response belong to no request, and a request that is not fully written
  // would have the next request inserted in it.
  const bool written = request_progress_ == request_progress::kWritten;
  if (!pool || !keep_alive_ || !written || !input_.empty()) return Close();
  output_ = {};
  input_ = {};
  parser_.reset();
  pool->ReturnIdle(shared_from_this());
  AwaitBytes();
}

void upstream_connection::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  deadline_timer_.Cancel();
  connect_timer_.Cancel();
  room_timer_.Cancel();
  hold_.reset();
  exchange_.reset();
  error_code ignored;
  socket_.close(ignored);
  if (const auto pool = pool_.lock()) pool->Remove(self);
}

}  // namespace cornelweir::http::internal

namespace cornelweir::http {

void upstream_exchange::Cancel() {
  if (std::exchange(finished_, true)) return;
  if (const auto connection = connection_.lock()) connection->Close();
}

upstream_client::upstream_client(loop::event_loop& loop, upstream_limits limits,
                                 std::shared_ptr<memory::memory_account> account)
    : pool_(std::make_shared<internal::upstream_pool>(loop, limits, std::move(account))) {}

// NOLINTNEXTLINE(bugprone-exception-escape)
upstream_client::~upstream_client() { pool_->Close(); }

void upstream_client::SetEndpoint(const kernel::endpoint& endpoint) {
  const auto parsed = ParseEndpoint(endpoint);
  if (!parsed || parsed.value() == pool_->endpoint) return;
  pool_->endpoint = parsed.value();
  pool_->CloseIdleConnections();
}

void upstream_client::CloseIdleConnections() { pool_->CloseIdleConnections(); }

std::shared_ptr<upstream_exchange> upstream_client::Send(const whole_request& request,
                                                         kernel::microseconds timeout,
                                                         upstream_exchange::match_callback match,
                                                         upstream_exchange::done_callback done) {
  auto exchange = std::make_shared<upstream_exchange>();
  exchange->match_ = std::move(match);
  exchange->done_ = std::move(done);
  pool_->Acquire()->Start(request, timeout, exchange);
  return exchange;
}

std::uint64_t upstream_client::opened_connections() const { return pool_->opened_connections; }

}  // namespace cornelweir::http
