// A planned stop of an entry under callers that keep their connections and go
// on sending until the process is gone.

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/net/blocking_http_call.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

// Of Cluster, and the time in which the other entries hear of the stop.
constexpr Milliseconds kServedAfterStop{3000};
// The longest booking, and the time that the exit takes.
constexpr Milliseconds kLongestEnd{3000};
constexpr Milliseconds kBookingTime{100};
constexpr Milliseconds kTimeout{5000};
constexpr int kOk = 200;

struct Booking {
  std::string body;
  // 0 without a whole response.
  int status = 0;
};

// Sends one booking after the other on a connection, and opens the next one as
// it ends.
class KeptBookings {
 public:
  KeptBookings(NetAddress entry, int number)
      : entry_(std::move(entry)), number_(number) {}

  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      if (socket_ || Connect())
        Book();
      else
        std::this_thread::sleep_for(Milliseconds(20));
    }
  }
  [[nodiscard]] const std::vector<Booking>& bookings() const {
    return bookings_;
  }

 private:
  bool Connect() {
    try {
      socket_ = ConnectBlocking(entry_, kTimeout, kTimeout);
    } catch (const Poco::Exception&) {
      return false;
    }
    return true;
  }

  void Book() {
    Booking& booking = bookings_.emplace_back();
    booking.body = "booking " + std::to_string(number_) + "." +
                   std::to_string(bookings_.size());
    HttpHead head;
    head.method = "POST";
    head.target = "/v1/services/" + std::string(kPlainService) + "/call";
    head.Set("Host", entry_.ToString());
    head.Set("Authorization", "Bearer " + std::string(kAccountKey));
    head.Set("Content-Type", "application/json");
    head.Set("Content-Length", std::to_string(booking.body.size()));
    bool reusable = false;
    try {
      BlockingHttpCall call(*socket_);
      call.Send(SerializeRequestHead(head) + booking.body);
      const int status = call.ReadHead().status;
      std::string body;
      while (call.ReadBody(body)) {
      }
      booking.status = status;
      reusable = call.reusable();
    } catch (const Poco::Exception&) {
    }
    if (!reusable)
      socket_.reset();
  }

  const NetAddress entry_;
  const int number_;
  std::optional<Poco::Net::StreamSocket> socket_;
  std::vector<Booking> bookings_;
};

// Guards against an entry that takes requests until none is open, so that under
// load it has to be killed, and against requests that it takes and cuts.
TEST_CASE("an entry that is stopped under load ends, and cuts no request") {
  constexpr int kCallers = 12;
  Cluster cluster({.entries = 2, .engines = 1});
  const std::string fault =
      nlohmann::json{{"delay_ms", kBookingTime.count()}}.dump();
  REQUIRE(HttpSend(cluster.plain_service(0).address(), "POST", "/faults",
                   {.body = fault})
              .status == kOk);
  std::vector<std::unique_ptr<KeptBookings>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
        std::make_unique<KeptBookings>(cluster.entry(0).address(), i));
  }
  std::atomic<bool> stop = false;
  {
    std::vector<std::jthread> threads;
    for (const auto& caller : callers)
      threads.emplace_back([&caller, &stop] { caller->Run(stop); });
    std::this_thread::sleep_for(Milliseconds(500));
    cluster.entry(0).Signal(SIGTERM);
    CHECK(cluster.entry(0).WaitForExit(kServedAfterStop + kLongestEnd) == 0);
    stop = true;
    cluster.entry(0).Kill();
  }
  const nlohmann::json runs =
      HttpSend(cluster.plain_service(0).address(), "GET", "/runs")
          .Json()
          .at("by_body");
  int whole = 0;
  for (const auto& caller : callers) {
    for (const Booking& booking : caller->bookings()) {
      CAPTURE(booking.body, booking.status);
      whole += booking.status == kOk ? 1 : 0;
      CHECK(runs.value(booking.body, 0) == (booking.status == kOk ? 1 : 0));
    }
  }
  CHECK(whole > kCallers);
}

}  // namespace
}  // namespace carobshift
