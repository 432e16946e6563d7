#ifndef CORNELWEIR_SRC_LOOP_EVENT_LOOP_H_
#define CORNELWEIR_SRC_LOOP_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <utility>

namespace cornelweir::loop {

// The signals that a process handles: SIGINT, SIGTERM and SIGHUP.
enum class process_signal : std::uint8_t { kInterrupt, kTerminate, kHangUp };

// The loop that runs all callbacks of a process on the thread that calls Run().
class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Runs callbacks until Stop() is called or no work remains.
  void Run();
  // Makes Run() return once the current callback has returned.
  void Stop();

  // Schedules callback to be called from Run(), never from within Post().
  template <class Callback>
  void Post(Callback&& callback) {
    boost::asio::post(context_, std::forward<Callback>(callback));
  }

  // Calls callback for every signal received. Replaces an earlier callback.
  void OnSignal(std::function<void(process_signal)> callback);

 private:
  void AwaitSignal();

  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  std::function<void(process_signal)> on_signal_;
};

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_EVENT_LOOP_H_
