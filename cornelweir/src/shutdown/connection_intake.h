#ifndef CORNELWEIR_SRC_SHUTDOWN_CONNECTION_INTAKE_H_
#define CORNELWEIR_SRC_SHUTDOWN_CONNECTION_INTAKE_H_

#include <cstddef>
#include <cstdint>

namespace cornelweir::shutdown {

// Decides which requests a kept connection still takes, and which response closes it.
//
// A response may close a connection only if no request behind it was taken: the caller counts those
// as unread and sends them again. So a connection first takes its last request and then says
// `Connection: close` with the response to it, which is at most one response more than were due
// when the server began to stop, whatever the caller goes on sending.
class connection_intake {
 public:
  // Whether another request may be read and taken.
  bool open() const { return state_ != state::kClosed; }
  // Whether the response after which unanswered requests remain closes the connection.
  bool ClosesAfter(std::size_t unanswered) const { return !open() && unanswered == 0; }

  // The server stops, or keeps no connections any more. A request of which a part has been read is
  // still taken. A connection with nothing in progress takes one request more: its caller may have
  // sent it already, or gets no other response that tells it to close.
  void BeginStop(std::size_t unanswered, bool reading) {
    if (state_ != state::kUnlimited) return;
    state_ = reading || unanswered == 0 ? state::kLastRequest : state::kClosed;
  }

  // A request was taken. keep_alive is false if the caller itself closes the connection after it.
  void OnTaken(bool keep_alive) {
    if (state_ == state::kLastRequest || !keep_alive) state_ = state::kClosed;
  }

  // What follows can't be read, or must not be.
  void Close() { state_ = state::kClosed; }

 private:
  enum class state : std::uint8_t { kUnlimited, kLastRequest, kClosed };

  state state_ = state::kUnlimited;
};

}  // namespace cornelweir::shutdown

#endif  // CORNELWEIR_SRC_SHUTDOWN_CONNECTION_INTAKE_H_
