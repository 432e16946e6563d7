#ifndef CORNELWEIR_SRC_HTTP_CALLER_CONNECTION_H_
#define CORNELWEIR_SRC_HTTP_CALLER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/src/http/exchange.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/message_reader.h"
#include "cornelweir/src/http/status_code.h"
#include "cornelweir/src/loop/timer.h"
#include "cornelweir/src/memory/memory_hold.h"

namespace cornelweir::http::internal {

class forward_operation;
class proxy_core;

// The connection of one caller. Reads requests one at a time and passes each to the server as an
// exchange; the next request is read once the previous one is answered.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  using body_piece = message_reader<true>::piece;
  using body_callback = std::function<void(const error_code&, body_piece)>;

  caller_connection(std::shared_ptr<proxy_core> core, boost::asio::ip::tcp::socket socket);

  void Start();
  // Closes after the request in progress, or at once if there is none.
  void BeginDrain();
  // Closes the socket. Cancels an attempt in progress, which reports kCallerGone.
  void Close();

  // Called by the exchange.
  void Respond(local_response response);
  void Forward(const kernel::endpoint& endpoint, const header_list& extra_headers,
               kernel::microseconds timeout, forward_callbacks callbacks);
  bool CanRetry() const;
  std::string_view retained_body() const { return retained_body_; }
  // Responds with 500 to a request whose exchange was destroyed without a response.
  void AnswerDroppedExchange();

  // Called by the attempt in progress. Body pieces come first from the retained start of the body,
  // then from the caller.
  std::optional<body_piece> TakeBufferedBody(error_code& error);
  void ReadBody(body_callback callback);
  // Responds to a body that can't be read with the status for the error, or closes the connection
  // if the caller has disconnected. sent tells whether part of the request was sent to an upstream.
  void RefuseBody(const error_code& error, bool sent);
  // Marks the response as started: it is then either completed or the connection is closed.
  void BeginResponse() { response_begun_ = true; }
  // Whether the connection can stay open after the response.
  bool CanKeepAlive() const;
  void EndResponse(bool keep_alive);
  // Ends the attempt, so that another one may start.
  void EndAttempt();
  // Detaches the exchange that the handler holds; its calls then have no effect.
  void EndExchange();
  // Responds with 500 if the attempt did not respond and the handler no longer holds the exchange.
  void AnswerIfExchangeDropped();

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  enum class phase : std::uint8_t { kIdle, kHead, kExchange, kResponding, kLingering, kClosed };

  void AwaitRequest();
  void AwaitInput();
  void OnReadable();
  void ReadHead();
  void OnHead(const error_code& error);
  void OnTimeout();
  void RefuseAndClose(status_code status, std::string_view reason, bool sent);
  void WriteResponse(local_response response, bool keep_alive);
  void Linger();
  void DiscardInput();
  void RetainBody(body_piece piece);
  void StopRetaining();
  // Takes room for a request of which this many bytes of the body are retained. Returns false if
  // there is none.
  bool TakeRoom(std::size_t retained_bytes);
  // Frees what the last request has left.
  void ReleaseRequest();
  void OnBodyPiece(const error_code& error, body_piece piece);
  bool CanAnswer() const;
  void ArmTimer(kernel::microseconds delay);

  std::shared_ptr<proxy_core> core_;
  boost::asio::ip::tcp::socket socket_;
  message_reader<true> reader_;
  loop::timer timer_;
  phase phase_ = phase::kIdle;
  bool read_wait_pending_ = false;
  bool draining_ = false;

  std::weak_ptr<exchange> exchange_;
  std::shared_ptr<forward_operation> attempt_;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool is_head_request_ = false;
  bool response_begun_ = false;

  // The start of the body, kept for another attempt, and the number of its bytes that the current
  // attempt has read.
  std::string retained_body_;
  std::size_t retained_offset_ = 0;
  bool retaining_body_ = false;
  // The bytes of the request in the account; null if they are not counted.
  std::unique_ptr<memory::memory_hold> hold_;
  // Whether a read of the body is in progress. Its piece is passed to body_callback_, or kept in
  // undelivered_piece_ if the attempt that requested it has ended.
  bool reading_body_ = false;
  body_callback body_callback_;
  std::optional<body_piece> undelivered_piece_;
  error_code undelivered_error_;

  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::array<char, 4096> discard_buffer_;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_CALLER_CONNECTION_H_
