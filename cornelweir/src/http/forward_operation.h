#ifndef CORNELWEIR_SRC_HTTP_FORWARD_OPERATION_H_
#define CORNELWEIR_SRC_HTTP_FORWARD_OPERATION_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "cornelweir/src/http/caller_connection.h"
#include "cornelweir/src/http/connection_pool.h"
#include "cornelweir/src/http/forward_result.h"
#include "cornelweir/src/http/message_reader.h"
#include "cornelweir/src/http/request_head.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http::internal {

// One attempt to forward a request: acquires a connection from the pool, streams the request and
// the response independently of each other, and reports the result. The connection is closed unless
// the exchange completed, so that late bytes can't reach another request.
class forward_operation : public std::enable_shared_from_this<forward_operation> {
 public:
  forward_operation(loop::event_loop& loop, connection_pool& pool,
                    std::shared_ptr<caller_connection> caller, kernel::endpoint endpoint);

  // body_available is false if an earlier attempt consumed the start of the body, not retained.
  void Start(const request_head& head, const header_list& extra_headers,
             kernel::microseconds timeout, forward_callbacks callbacks, bool body_available);
  // Called when the caller's connection is closed.
  void OnCallerGone();

 private:
  using response_piece = message_reader<false>::piece;

  void OnConnection(connection_pool::connection_ptr acquired);
  void WriteRequest(std::optional<caller_connection::body_piece> piece);
  void OnRequestWritten(const error_code& error, std::size_t size);
  void ReadRequestBody();
  void ReadResponseHead();
  void OnResponseHead(const error_code& error);
  bool HasOtherRequestId() const;
  void RelayInterimResponse();
  void BeginResponse();
  void WriteResponse(std::optional<response_piece> piece);
  void OnResponseWritten(const error_code& error);
  void ReadResponseBody();
  void AppendBodyPrefix(std::string_view bytes);
  void FailBeforeResponse(http_fault fault);
  void FailRequestBody(const error_code& error);
  void OnTimeout();
  void Finish(forward_status status);

  loop::event_loop& loop_;
  connection_pool& pool_;
  std::shared_ptr<caller_connection> caller_;
  kernel::endpoint endpoint_;
  forward_callbacks callbacks_;
  loop::timer deadline_;
  kernel::steady_clock_source clock_;
  kernel::time_point started_at_;
  connection_pool::acquire_id acquire_id_;
  connection_pool::connection_ptr connection_;
  forward_result result_;
  bool is_head_request_ = false;
  bool finished_ = false;

  boost::beast::http::request<boost::beast::http::buffer_body> request_;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>>
      request_serializer_;
  bool writing_request_ = false;
  // The read failed during a write; the result of the write tells whether bytes were sent.
  bool read_failed_ = false;
  error_code body_error_;

  boost::beast::http::response<boost::beast::http::empty_body> interim_response_;
  int interim_count_ = 0;
  boost::beast::http::response<boost::beast::http::buffer_body> response_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      response_serializer_;
  bool response_done_ = false;
  bool caller_keep_alive_ = false;
  std::uint64_t response_bytes_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_FORWARD_OPERATION_H_
