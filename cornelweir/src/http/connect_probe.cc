#include "cornelweir/src/http/connect_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "cornelweir/src/http/endpoint_address.h"
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http {

struct connect_probe::attempt {
  explicit attempt(loop::event_loop& loop) : socket(loop.context()), timer(loop) {}

  // Only the first result counts.
  void Finish(connect_result result) {
    const auto callback = std::exchange(done, nullptr);
    End();
    if (callback) callback(result);
  }

  void End() {
    done = nullptr;
    timer.Cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  loop::timer timer;
  std::function<void(connect_result)> done;
};

connect_probe::connect_probe(loop::event_loop& loop) : loop_(loop) {}

connect_probe::~connect_probe() { Cancel(); }

void connect_probe::Cancel() {
  if (const auto ended = std::exchange(attempt_, nullptr)) ended->End();
}

void connect_probe::Start(const kernel::endpoint& endpoint, kernel::microseconds timeout,
                          std::function<void(connect_result)> done) {
  Cancel();
  attempt_ = std::make_shared<attempt>(loop_);
  attempt_->done = std::move(done);
  const auto address = ParseEndpoint(endpoint);
  if (!address) {
    loop_.Post([started = attempt_] { started->Finish(connect_result::kUnknown); });
    return;
  }
  attempt_->timer.Start(timeout, [started = std::weak_ptr(attempt_)] {
    if (const auto late = started.lock()) late->Finish(connect_result::kUnknown);
  });
  attempt_->socket.async_connect(
      address.value(), [started = attempt_](const boost::system::error_code& error) {
        if (!error) return started->Finish(connect_result::kAccepted);
        started->Finish(error == boost::asio::error::connection_refused ? connect_result::kRefused
                                                                        : connect_result::kUnknown);
      });
}

}  // namespace cornelweir::http
