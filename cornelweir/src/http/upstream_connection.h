#ifndef CORNELWEIR_SRC_HTTP_UPSTREAM_CONNECTION_H_
#define CORNELWEIR_SRC_HTTP_UPSTREAM_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cornelweir/src/http/response_parser.h"
#include "cornelweir/src/http/upstream_client.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/loop/timer.h"
#include "cornelweir/src/memory/memory_account.h"
#include "cornelweir/src/memory/memory_hold.h"

namespace cornelweir::http::internal {

// The connections to one upstream and their shared state.
class upstream_pool : public std::enable_shared_from_this<upstream_pool> {
 public:
  upstream_pool(loop::event_loop& loop, upstream_limits limits,
                std::shared_ptr<memory::memory_account> account);

  std::shared_ptr<upstream_connection> Acquire();
  void ReturnIdle(const std::shared_ptr<upstream_connection>& connection);
  void Remove(const std::shared_ptr<upstream_connection>& connection);
  void CloseIdleConnections();
  void Close();

  loop::event_loop& event_loop() { return loop_; }
  kernel::time_point Now() const { return clock_.Now(); }

  const upstream_limits limits;
  boost::asio::ip::tcp::endpoint endpoint;
  std::uint64_t opened_connections = 0;
  const std::shared_ptr<memory::memory_account> account;
  // Shared buffer for reads; each connection copies what it has read.
  std::array<char, std::size_t{64} << 10> read_buffer;

 private:
  void CloseExpired();

  loop::event_loop& loop_;
  kernel::steady_clock_source clock_;
  loop::timer idle_timer_;
  // Ordered by last use, most recent last.
  std::vector<std::shared_ptr<upstream_connection>> idle_;
  std::set<std::shared_ptr<upstream_connection>> open_;
};

// A connection to an upstream.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
 public:
  explicit upstream_connection(const std::shared_ptr<upstream_pool>& pool);

  void Start(const whole_request& request, kernel::microseconds timeout,
             std::shared_ptr<upstream_exchange> exchange);
  // Whether the connection can take another request.
  bool IsUsable();
  void Close();

  kernel::time_point idle_until;

 private:
  using parser = response_parser<boost::beast::http::string_body>;

  void Connect();
  void Write();
  void AwaitBytes();
  void OnReadable();
  void BeginResponse();
  void Parse(bool at_eof);
  // Takes the bytes of the body from the account before the parser allocates them. Returns false if
  // there is no room.
  bool TakeRoom();
  // Reads no further until there is room, so that the upstream has to wait.
  void AwaitRoom();
  void OnResponse();
  void End(upstream_status status, std::optional<whole_response> response);
  void ReturnOrClose();

  std::weak_ptr<upstream_pool> pool_;
  boost::asio::ip::tcp::socket socket_;
  loop::timer deadline_timer_;
  loop::timer connect_timer_;
  loop::timer room_timer_;
  std::shared_ptr<upstream_exchange> exchange_;
  std::string output_;
  std::string input_;
  std::unique_ptr<parser> parser_;
  // The bytes of the body that is being read; null if it has none so far.
  std::shared_ptr<memory::memory_hold> hold_;
  request_progress request_progress_ = request_progress::kPartlyWritten;
  // Responses to the current request that were skipped.
  int interim_count_ = 0;
  int stale_count_ = 0;
  bool waits_for_room_ = false;
  bool is_head_request_ = false;
  bool connected_ = false;
  bool write_started_ = false;
  bool read_wait_pending_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_UPSTREAM_CONNECTION_H_
