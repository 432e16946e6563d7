#ifndef CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_
#define CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "cornelweir/src/http/pipeline_server.h"
#include "cornelweir/src/http/request_check.h"
#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::http::internal {

// The connection of one caller. Bytes are read as soon as they arrive, so that a caller that leaves
// is noticed at once, also while an answer is awaited. Buffers exist only while they hold bytes: a
// daemon has far more idle connections than busy ones.
class pipeline_connection : public std::enable_shared_from_this<pipeline_connection> {
 public:
  pipeline_connection(std::shared_ptr<pipeline_core> core, boost::asio::ip::tcp::socket socket);

  void Start();
  // Writes the answers that are due, in order.
  void Flush();
  // Ends the connection if nothing is in progress on it.
  void CloseIfIdle();
  // Ends a connection whose caller is too slow or has been idle for too long.
  void CheckTime(kernel::time_point now);
  void Close();

  bool idle() const { return pending_.empty() && !parser_ && !writing_; }

 private:
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void AwaitBytes();
  void OnReadable();
  void Parse();
  bool ParseHead();
  void Dispatch();
  void SendContinue();
  void Refuse(int status, std::string_view reason);
  void Write(pipeline_request& answered, bool last);
  void OnWritten(bool last);
  void Linger();
  void Touch();

  std::shared_ptr<pipeline_core> core_;
  boost::asio::ip::tcp::socket socket_;
  std::string input_;
  std::unique_ptr<parser> parser_;
  std::deque<std::shared_ptr<pipeline_request>> pending_;
  std::string output_head_;
  std::string output_body_;
  kernel::time_point touched_;
  kernel::time_point head_began_;
  bool waiting_ = false;
  bool writing_ = false;
  // No further request is read: the caller asked for that, or a request could not be read.
  bool last_read_ = false;
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_
