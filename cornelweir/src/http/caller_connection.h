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
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http::internal {

class forward_operation;
class proxy_core;

// The connection of one caller. It reads one request after the other and hands each to the server
// as an exchange; the next request is read when the one before is answered.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  using body_piece = message_reader<true>::piece;
  using body_callback = std::function<void(const error_code&, body_piece)>;

  caller_connection(std::shared_ptr<proxy_core> core, boost::asio::ip::tcp::socket socket);

  void Start();
  // Ends after the request in progress, or at once if there is none.
  void BeginDrain();
  // Closes the socket. An attempt in progress is cancelled and reported as kCallerGone.
  void Close();

  // For the exchange.
  void Respond(local_response response);
  void Forward(const kernel::endpoint& endpoint, const header_list& extra,
               kernel::microseconds timeout, forward_callbacks callbacks);
  bool CanRetry() const;
  std::string_view retained_body() const { return retained_; }
  void Abandon();

  // For the attempt in progress. Body pieces come from the retained start of the body first, then
  // from the caller.
  std::optional<body_piece> TakeBufferedBody(error_code& error);
  void ReadBody(body_callback callback);
  // Answers a body that can't be read as the error requires, or closes if the caller is gone.
  void RefuseBody(const error_code& error, bool sent);
  // Marks the response as begun: from here on it is completed or the connection is closed.
  void BeginResponse() { response_begun_ = true; }
  // Whether the connection can stay open after the response.
  bool CanKeepAlive() const;
  void EndResponse(bool keep_alive);
  // The attempt is over; another one may begin.
  void EndAttempt();
  // Makes the exchange that the handler holds ineffective.
  void EndExchange();
  // Answers if the attempt did not and the handler holds no exchange to do it.
  void AnswerIfUnowned();

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  enum class phase : std::uint8_t { kIdle, kHead, kExchange, kResponding, kLingering, kClosed };

  void AwaitRequest();
  void Watch();
  void OnReadable();
  void ReadHead();
  void OnHead(const error_code& error);
  void OnTimeout();
  void RefuseAndClose(int status, std::string_view reason, bool sent);
  void WriteResponse(local_response response, bool keep_alive);
  void Linger();
  void DiscardInput();
  void RetainBody(body_piece piece);
  void OnBodyPiece(const error_code& error, body_piece piece);
  bool CanAnswer() const;
  void ArmTimer(kernel::microseconds delay);

  std::shared_ptr<proxy_core> core_;
  boost::asio::ip::tcp::socket socket_;
  message_reader<true> reader_;
  loop::timer timer_;
  phase phase_ = phase::kIdle;
  bool watched_ = false;
  bool draining_ = false;

  std::weak_ptr<exchange> exchange_;
  std::shared_ptr<forward_operation> attempt_;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool is_head_ = false;
  bool response_begun_ = false;

  // The start of the body, for a second attempt, and how much of it the attempt has taken.
  std::string retained_;
  std::size_t cursor_ = 0;
  bool retaining_ = false;
  // A read of the body is in progress; its piece goes to body_callback_, or is kept in
  // orphaned_piece_ if the attempt that asked for it has ended.
  bool reading_body_ = false;
  body_callback body_callback_;
  std::optional<body_piece> orphaned_piece_;
  error_code orphaned_error_;

  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::array<char, 4096> discard_buffer_;
  std::size_t discarded_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_CALLER_CONNECTION_H_
