#include "cornelweir/src/loop/event_loop.h"

#include <csignal>

namespace cornelweir::loop {
namespace internal {

process_signal SignalOf(int number) {
  switch (number) {
    case SIGTERM:
      return process_signal::kTerminate;
    case SIGHUP:
      return process_signal::kHangUp;
    default:
      return process_signal::kInterrupt;
  }
}

}  // namespace internal

// The concurrency hint 1 tells Asio that one thread runs the loop.
event_loop::event_loop() : context_(1), signals_(context_) {}

void event_loop::Run() {
  context_.run();
  // A stopped context runs again only after a restart.
  context_.restart();
}

void event_loop::Stop() { context_.stop(); }

void event_loop::OnSignal(std::function<void(process_signal)> callback) {
  const bool first = !on_signal_;
  on_signal_ = std::move(callback);
  if (!first) return;
  for (const int number : {SIGINT, SIGTERM, SIGHUP}) signals_.add(number);
  AwaitSignal();
}

void event_loop::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) return;
    AwaitSignal();
    on_signal_(internal::SignalOf(number));
  });
}

}  // namespace cornelweir::loop
