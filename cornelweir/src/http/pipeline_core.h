#ifndef CORNELWEIR_SRC_HTTP_PIPELINE_CORE_H_
#define CORNELWEIR_SRC_HTTP_PIPELINE_CORE_H_

#include <array>
#include <functional>
#include <memory>
#include <set>

#include "cornelweir/src/http/buffered_bytes.h"
#include "cornelweir/src/http/listener.h"
#include "cornelweir/src/http/pipeline_server.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http::internal {

// The shared state of a pipeline server's connections. One timer checks all their timeouts.
class pipeline_core : public std::enable_shared_from_this<pipeline_core> {
 public:
  pipeline_core(loop::event_loop& loop, pipeline_server::handler handle_request,
                pipeline_server::refusal_builder build_refusal);

  boost::leaf::result<void> Listen(const kernel::endpoint& endpoint);
  kernel::endpoint local_endpoint() const;
  void DisableKeepAlive();
  void BeginDrain(std::function<void()> done);
  void Close();
  void Remove(const std::shared_ptr<pipeline_connection>& connection);

  kernel::time_point Now() const { return clock_.Now(); }
  bool keep_alive_disabled() const { return keep_alive_disabled_; }
  bool draining() const { return draining_; }
  std::size_t connections() const { return connections_.size(); }

  pipeline_limits limits;
  pipeline_server::handler handle_request;
  pipeline_server::refusal_builder build_refusal;
  // Bytes of requests that are being read and of the bodies of those that are not answered, over
  // all connections.
  const std::shared_ptr<buffered_total> buffered = std::make_shared<buffered_total>();
  // Null if the responses are not counted.
  std::shared_ptr<const memory::memory_account> account;
  slow_reader_counts slow_readers;
  byte_counts traffic;
  // Shared buffer for reads; each connection copies what it has read.
  std::array<char, std::size_t{64} << 10> read_buffer;

 private:
  void Accept(boost::asio::ip::tcp::socket socket);
  void CheckTimeouts();
  void CloseSlowReaders(kernel::time_point now);

  loop::event_loop& loop_;
  kernel::steady_clock_source clock_;
  loop::timer timeout_timer_;
  std::shared_ptr<listener> listener_;
  std::set<std::shared_ptr<pipeline_connection>> connections_;
  std::function<void()> on_drained_;
  bool keep_alive_disabled_ = false;
  bool draining_ = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_PIPELINE_CORE_H_
