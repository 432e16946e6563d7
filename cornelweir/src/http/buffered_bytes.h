#ifndef CORNELWEIR_SRC_HTTP_BUFFERED_BYTES_H_
#define CORNELWEIR_SRC_HTTP_BUFFERED_BYTES_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace cornelweir::http::internal {

// The sum of the bytes that the connections of one server or client buffer.
class buffered_total {
 public:
  std::size_t bytes() const { return bytes_; }

 private:
  friend class buffered_bytes;

  std::size_t bytes_ = 0;
};

// One connection's part of a total, which the destructor returns. The total is shared, since a
// connection may outlive the server or client that it belongs to.
class buffered_bytes {
 public:
  explicit buffered_bytes(std::shared_ptr<buffered_total> total) : total_(std::move(total)) {}
  buffered_bytes(const buffered_bytes&) = delete;
  buffered_bytes& operator=(const buffered_bytes&) = delete;
  ~buffered_bytes() { Set(0); }

  std::size_t bytes() const { return bytes_; }

  void Set(std::size_t bytes) {
    total_->bytes_ -= bytes_;
    total_->bytes_ += bytes;
    bytes_ = bytes;
  }

 private:
  std::shared_ptr<buffered_total> total_;
  std::size_t bytes_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_BUFFERED_BYTES_H_
