#ifndef CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_
#define CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "cornelweir/src/http/buffered_bytes.h"
#include "cornelweir/src/http/pipeline_server.h"
#include "cornelweir/src/http/request_check.h"
#include "cornelweir/src/http/write_progress.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/shutdown/connection_intake.h"

namespace cornelweir::http::internal {

// The connection of one caller. Input is read as soon as it arrives, so that a disconnect is
// detected at once, even while a response is pending. Buffers are allocated only while they hold
// bytes, since a daemon has far more idle connections than busy ones.
class pipeline_connection : public std::enable_shared_from_this<pipeline_connection> {
 public:
  pipeline_connection(std::shared_ptr<pipeline_core> core, boost::asio::ip::tcp::socket socket);

  void Start();
  // Counts the expected size of a response instead of an earlier one.
  void OnExpected(std::size_t before, std::size_t bytes) {
    expected_bytes_ += bytes;
    expected_bytes_ -= before;
  }
  // Counts a response that has become available, and writes those whose turn it is.
  void OnAnswered(const pipeline_request& answered);
  // Takes one more request at most, and closes the connection with the response to the last one.
  void BeginStop();
  // Closes the connection if no request is in progress. A new connection whose first request may
  // still be on its way is kept for kFirstRequestTimeout after it was accepted.
  void CloseIfIdle();
  // Closes the connection if its caller is too slow or has been idle for too long.
  void CheckTimeouts(kernel::time_point now);
  void Close();

  // Time since the response that is being written began to be written; zero if none is.
  kernel::microseconds WriteAge(kernel::time_point now) const;
  // Bytes of the responses that are available and not completely written.
  std::size_t unwritten_bytes() const { return unwritten_bytes_; }
  bool idle() const { return pending_.empty() && !parser_ && !writing_; }

 private:
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void AwaitBytes();
  void OnReadable();
  void Parse();
  bool ParseHead();
  // Returns false after it has refused a request that exceeds the limits of buffered bytes.
  bool CheckBufferLimit();
  void Dispatch();
  void SendContinue();
  // Refuses a request with the status for the error, or closes the connection if there is none.
  void RefuseUnreadable(const boost::system::error_code& error, std::string_view reason);
  void Refuse(status_code status, std::string_view reason);
  // Writes the available responses in request order.
  void Flush();
  void Write(pipeline_request& answered, bool last);
  void OnWritten(bool last);
  // Whether a further request may be dispatched.
  bool MayDispatch() const;
  // Whether input is read. Otherwise it stays in the socket buffer.
  bool MayRead() const;
  // Bytes that the host of the caller has acknowledged since the connection was opened.
  std::uint64_t TakenBytes();
  void Linger();
  void RecordActivity();

  std::shared_ptr<pipeline_core> core_;
  boost::asio::ip::tcp::socket socket_;
  std::string input_;
  std::unique_ptr<parser> parser_;
  // Bytes of the request that is being read.
  buffered_bytes reading_;
  // Bytes of the bodies of the requests that are not answered.
  buffered_bytes unanswered_;
  std::deque<std::shared_ptr<pipeline_request>> pending_;
  std::string output_head_;
  std::string output_body_;
  std::shared_ptr<memory::memory_hold> output_hold_;
  // Bytes of the body of the response that is being written.
  std::size_t output_bytes_ = 0;
  // Bytes that the socket has accepted: of the response that is being written, and of earlier ones.
  std::size_t accepted_bytes_ = 0;
  std::uint64_t earlier_bytes_ = 0;
  // Bytes of the bodies of responses that are available and not completely written.
  std::size_t unwritten_bytes_ = 0;
  // Expected bytes of the responses that are not available.
  std::size_t expected_bytes_ = 0;
  write_progress progress_;
  kernel::time_point write_began_at_;
  kernel::time_point used_at_;
  kernel::time_point head_started_at_;
  bool read_wait_pending_ = false;
  bool writing_ = false;
  bool request_received_ = false;
  // Which requests are still taken. Bytes behind the last one are discarded.
  shutdown::connection_intake intake_;
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_PIPELINE_CONNECTION_H_
