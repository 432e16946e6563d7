#include "cornelweir/src/loop/event_loop.h"

#include <csignal>

namespace cornelweir::loop {
namespace internal {

process_signal ToProcessSignal(int signal_number) {
  switch (signal_number) {
    case SIGTERM:
      return process_signal::kTerminate;
    case SIGHUP:
      return process_signal::kHangUp;
    default:
      return process_signal::kInterrupt;
  }
}

}  // namespace internal

// The concurrency hint 1 tells Asio that a single thread runs the loop.
event_loop::event_loop() : context_(1), signals_(context_) {}

void event_loop::Run() {
  context_.run();
  // A stopped context runs again only after a restart.
  context_.restart();
}

void event_loop::Stop() { context_.stop(); }

void event_loop::OnSignal(std::function<void(process_signal)> callback) {
  const bool is_first_callback = !on_signal_;
  on_signal_ = std::move(callback);
  if (!is_first_callback) return;
  for (const int signal_number : {SIGINT, SIGTERM, SIGHUP}) signals_.add(signal_number);
  AwaitSignal();
}

void event_loop::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal_number) {
    if (error) return;
    AwaitSignal();
    on_signal_(internal::ToProcessSignal(signal_number));
  });
}

}  // namespace cornelweir::loop
