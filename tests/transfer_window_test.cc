// Tests how many bytes of large bodies may be in flight and how long they are expected to take.

#include <gtest/gtest.h>

#include <chrono>
#include <deque>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;

// Simulates a host's link of a fixed rate. Pieces are sent whenever the window allows it.
class link_model {
 public:
  explicit link_model(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  // Sends for a duration. Returns the longest time from sending a piece to its acknowledgement.
  kernel::microseconds Run(transfer_window& window, kernel::microseconds duration) {
    const kernel::time_point end = now_ + duration;
    kernel::microseconds longest_delay{};
    while (now_ < end) {
      while (window.HasRoom()) {
        const std::size_t bytes = window.PieceBytes();
        const auto transmission_time = kernel::microseconds(
            static_cast<std::int64_t>(1e6 * static_cast<double>(bytes) / bytes_per_second_));
        free_at_ = std::max(free_at_, now_) + transmission_time;
        pieces_.push_back({bytes, now_, free_at_ + kRoundTrip});
        window.OnSent(bytes, now_);
      }
      const piece acknowledged = pieces_.front();
      pieces_.pop_front();
      now_ = acknowledged.acknowledged_at;
      longest_delay = std::max(longest_delay, now_ - acknowledged.sent_at);
      if (now_ > end - milliseconds(1'000)) last_second_ = std::max(last_second_, longest_delay);
      window.OnAcknowledged(acknowledged.bytes, now_ - acknowledged.sent_at, now_);
    }
    return longest_delay;
  }

 private:
  struct piece {
    std::size_t bytes;
    kernel::time_point sent_at;
    kernel::time_point acknowledged_at;
  };
  static constexpr milliseconds kRoundTrip{2};

  double bytes_per_second_;
  kernel::time_point now_{std::chrono::seconds(100)};
  kernel::time_point free_at_{};
  kernel::microseconds last_second_{};
  std::deque<piece> pieces_;
};

// Guards against small messages that wait for seconds behind large bodies on a slow link.
TEST(TransferWindow, LimitsTheDelayOnASlowLink) {
  transfer_window window;
  link_model link(325'000);
  link.Run(window, milliseconds(3'000));
  EXPECT_LE(link.Run(window, milliseconds(3'000)), milliseconds(150));
  EXPECT_GE(window.window(), kMinWindowBytes);
}

// Guards against a fast link that is idle because the window is too small.
TEST(TransferWindow, GrowsOnAFastLink) {
  transfer_window window;
  link_model link(125e6);
  link.Run(window, milliseconds(500));
  EXPECT_GE(window.window(), std::size_t{256} << 10);
}

// Guards against expecting responses sooner than the link can send them.
TEST(TransferWindow, MeasuresTheRateOfTheLink) {
  transfer_window window;
  EXPECT_EQ(window.EstimatedTransferTime(1'000'000), kernel::microseconds::zero())
      << "estimated without a measured rate";
  link_model link(325'000);
  link.Run(window, milliseconds(5'000));
  EXPECT_GT(window.EstimatedTransferTime(325'000), milliseconds(800));
  EXPECT_LT(window.EstimatedTransferTime(325'000), milliseconds(1'200));
}

// Guards against a window that stays full because a host stopped reading.
TEST(TransferWindow, ReleasesLostPieces) {
  transfer_window window;
  const kernel::time_point now{std::chrono::seconds(100)};
  std::size_t sent = 0;
  while (window.HasRoom()) {
    window.OnSent(window.PieceBytes(), now);
    sent += window.PieceBytes();
  }
  window.OnLost(sent);
  EXPECT_TRUE(window.HasRoom());
  EXPECT_EQ(window.outstanding(), 0U);
}

}  // namespace
}  // namespace cornelweir::admission
