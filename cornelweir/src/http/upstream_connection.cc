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

constexpr kernel::milliseconds kIdleWatchPeriod{500};

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

// The time for which a server keeps an idle connection, from its Keep-Alive header; 0 if it does
// not say.
std::int64_t KeepAliveSeconds(std::string_view header) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t begin = header.find(kTimeout);
  if (begin == std::string_view::npos) return 0;
  std::int64_t seconds = 0;
  std::from_chars(header.data() + begin + kTimeout.size(), header.data() + header.size(), seconds);
  return seconds;
}

}  // namespace

upstream_core::upstream_core(loop::event_loop& loop, upstream_limits bounds)
    : limits(bounds), loop_(loop), watch_(loop) {
  watch_.StartPeriodic(kIdleWatchPeriod, [this] { CloseExpired(); });
}

std::shared_ptr<upstream_connection> upstream_core::Take() {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->idle_until > Now() && connection->IsUsable()) return connection;
    connection->Close();
  }
  auto connection = std::make_shared<upstream_connection>(shared_from_this());
  open_.insert(connection);
  ++opened;
  return connection;
}

void upstream_core::Keep(const std::shared_ptr<upstream_connection>& connection) {
  idle_.push_back(connection);
}

void upstream_core::Remove(const std::shared_ptr<upstream_connection>& connection) {
  std::erase(idle_, connection);
  open_.erase(connection);
}

void upstream_core::CloseIdleConnections() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& connection : idle) connection->Close();
}

void upstream_core::CloseExpired() {
  const auto idle = idle_;
  for (const auto& connection : idle) {
    if (connection->idle_until <= Now()) connection->Close();
  }
}

void upstream_core::Close() {
  watch_.Cancel();
  idle_.clear();
  const auto open = std::exchange(open_, {});
  for (const auto& connection : open) connection->Close();
}

upstream_connection::upstream_connection(const std::shared_ptr<upstream_core>& core)
    : core_(core),
      socket_(core->event_loop().context()),
      timer_(core->event_loop()),
      connect_timer_(core->event_loop()) {}

bool upstream_connection::IsUsable() {
  return !closed_ && connected_ && Peek(socket_) == socket_state::kQuiet;
}

void upstream_connection::Run(const whole_request& request, kernel::microseconds timeout,
                              std::shared_ptr<upstream_exchange> exchange) {
  exchange_ = std::move(exchange);
  exchange_->connection_ = weak_from_this();
  output_ = Serialize(request);
  is_head_ = request.method == "HEAD";
  write_began_ = false;
  BeginResponse();
  timer_.Start(timeout, [this] {
    End(write_began_ ? upstream_status::kTimeout : upstream_status::kNotSent, {});
  });
  if (connected_) return Write();
  Connect();
}

void upstream_connection::Connect() {
  const auto core = core_.lock();
  if (!core) return;
  connect_timer_.Start(core->limits.connect_timeout, [this] {
    if (!connected_) End(upstream_status::kNotSent, {});
  });
  socket_.async_connect(core->endpoint, [self = shared_from_this()](const error_code& error) {
    if (self->closed_) return;
    self->connect_timer_.Cancel();
    if (error) return self->End(upstream_status::kNotSent, {});
    error_code ignored;
    self->socket_.non_blocking(true, ignored);
    loop::ConfigureTcpSocket(self->socket_, kTcpKeepaliveOptions);
    self->connected_ = true;
    self->Write();
  });
}

// The whole request is written while the response is read, since a server may answer before it has
// read all of it.
void upstream_connection::Write() {
  write_began_ = true;
  writing_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(output_),
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                             self->writing_ = false;
                             // A response may still be on its way; reading tells.
                             if (error) self->keep_alive_ = false;
                           });
  AwaitBytes();
}

void upstream_connection::BeginResponse() {
  const auto core = core_.lock();
  if (!core) return;
  parser_ = std::make_unique<parser>();
  parser_->header_limit(static_cast<std::uint32_t>(core->limits.header_bytes));
  parser_->body_limit(core->limits.body_bytes);
  parser_->eager(true);
  parser_->skip(is_head_);
}

void upstream_connection::AwaitBytes() {
  if (waiting_ || closed_) return;
  waiting_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->waiting_ = false;
                       if (!error) self->OnReadable();
                     });
}

void upstream_connection::OnReadable() {
  const auto core = core_.lock();
  if (closed_ || !core) return;
  // Nothing is due on an idle connection: either it was closed, or bytes that belong to no request
  // have arrived.
  if (!exchange_) return Close();
  error_code error;
  const std::size_t size = socket_.read_some(boost::asio::buffer(core->scratch), error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
    return AwaitBytes();
  }
  if (error == boost::asio::error::eof) return Parse(true);
  if (error) return End(upstream_status::kBroken, {});
  input_.append(core->scratch.data(), size);
  const auto self = shared_from_this();
  Parse(false);
  if (!closed_) AwaitBytes();
}

void upstream_connection::Parse(bool at_end) {
  error_code error;
  while (exchange_ && !input_.empty() && !parser_->is_done()) {
    const std::size_t consumed = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, consumed);
    if (error == beast_http::error::need_more) break;
    if (error) return End(upstream_status::kBroken, {});
    if (parser_->is_done()) {
      OnResponse();
    } else if (consumed == 0) {
      break;
    }
  }
  if (!at_end || !exchange_) return;
  // A response without a length ends where the connection does; every other one is cut.
  if (!parser_->is_header_done() || !parser_->need_eof()) return End(upstream_status::kBroken, {});
  parser_->put_eof(error);
  if (error) return End(upstream_status::kBroken, {});
  keep_alive_ = false;
  OnResponse();
}

void upstream_connection::OnResponse() {
  auto& message = parser_->get();
  if (message.result_int() / 100 == 1) return BeginResponse();
  whole_response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& header : message) {
    response.headers.emplace_back(std::string(header.name_string()), std::string(header.value()));
  }
  response.body = std::move(message.body());
  keep_alive_ = parser_->keep_alive();
  switch (exchange_->use_(response)) {
    case response_match::kMatched:
      return End(upstream_status::kResponse, std::move(response));
    case response_match::kStale:
      if (!keep_alive_) return End(upstream_status::kBroken, {});
      return BeginResponse();
    case response_match::kUnusable:
      return End(upstream_status::kBroken, {});
  }
}

void upstream_connection::End(upstream_status status, whole_response response) {
  const auto self = shared_from_this();
  const auto exchange = std::exchange(exchange_, nullptr);
  timer_.Cancel();
  connect_timer_.Cancel();
  if (status == upstream_status::kResponse) {
    if (const auto core = core_.lock()) {
      const std::int64_t hint = KeepAliveSeconds(FindHeader(response.headers, "keep-alive"));
      // The server's clock started earlier; half of its time is surely left when a request comes.
      const kernel::milliseconds kept =
          hint > 0 ? std::min(core->limits.idle_timeout, kernel::milliseconds(hint * 500))
                   : core->limits.idle_timeout;
      idle_until = core->Now() + kept;
    }
    KeepOrClose();
  } else {
    Close();
  }
  if (!exchange || exchange->over_) return;
  exchange->over_ = true;
  std::erase_if(response.headers,
                [](const auto& header) { return IsHopByHopHeader(header.first); });
  exchange->done_({status, std::move(response)});
}

void upstream_connection::KeepOrClose() {
  const auto core = core_.lock();
  // Bytes after a complete response belong to no request, and a request that is not written yet
  // would be followed by the next one in its place.
  if (!core || !keep_alive_ || writing_ || !input_.empty()) return Close();
  output_ = {};
  input_ = {};
  parser_.reset();
  core->Keep(shared_from_this());
  AwaitBytes();
}

void upstream_connection::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  timer_.Cancel();
  connect_timer_.Cancel();
  exchange_.reset();
  error_code ignored;
  socket_.close(ignored);
  if (const auto core = core_.lock()) core->Remove(self);
}

}  // namespace cornelweir::http::internal

namespace cornelweir::http {

void upstream_exchange::Cancel() {
  if (std::exchange(over_, true)) return;
  if (const auto connection = connection_.lock()) connection->Close();
}

upstream_client::upstream_client(loop::event_loop& loop, upstream_limits limits)
    : core_(std::make_shared<internal::upstream_core>(loop, limits)) {}

// NOLINTNEXTLINE(bugprone-exception-escape)
upstream_client::~upstream_client() { core_->Close(); }

void upstream_client::SetEndpoint(const kernel::endpoint& endpoint) {
  const auto parsed = ParseEndpoint(endpoint);
  if (!parsed || parsed.value() == core_->endpoint) return;
  core_->endpoint = parsed.value();
  core_->CloseIdleConnections();
}

void upstream_client::CloseIdleConnections() { core_->CloseIdleConnections(); }

std::shared_ptr<upstream_exchange> upstream_client::Send(const whole_request& request,
                                                         kernel::microseconds timeout,
                                                         upstream_exchange::match_callback use,
                                                         upstream_exchange::done_callback done) {
  auto exchange = std::make_shared<upstream_exchange>();
  exchange->use_ = std::move(use);
  exchange->done_ = std::move(done);
  core_->Take()->Run(request, timeout, exchange);
  return exchange;
}

std::uint64_t upstream_client::opened_connections() const { return core_->opened; }

}  // namespace cornelweir::http
