// Fetches against peers that answer, refuse, reset and fall silent, whose
// callbacks start, cancel and destroy fetches in any order.

#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "carobshift/net/http_fetch.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr Milliseconds kFetchTimeout{8};
constexpr Milliseconds kPlayTime{40};

// What the peers do, one after the other, and what callbacks do then.
enum class PeerAct { kAnswer, kReset, kSilence };
enum class CallbackAct { kStartAgain, kCancelOther, kDestroyOther, kNothing };

class FetchPlay {
 public:
  FetchPlay(std::vector<PeerAct> peer_acts,
            std::vector<CallbackAct> callback_acts,
            std::vector<std::size_t> targets)
      : peer_acts_(std::move(peer_acts)),
        callback_acts_(std::move(callback_acts)),
        targets_(std::move(targets)),
        server_(loop_, [this](auto& connection, const auto&) {
          OnRequest(connection);
        }) {
    // A port at which nobody listens any more refuses at once.
    LoopbackServer gone(loop_, [](auto&, const auto&) {});
    refusing_ = gone.address();
  }

  // Each fetch's callback is called once at most for each start.
  void Run() {
    for (std::size_t i = 0; i < fetches_.size(); ++i) {
      fetches_[i] = std::make_unique<HttpFetch>();
      Start(i);
    }
    const MonotonicTime end = MonotonicNow() + kPlayTime;
    while (MonotonicNow() < end)
      loop_.RunOnce(Milliseconds(1));
    RC_ASSERT(completed_ <= started_);
  }

 private:
  void OnRequest(HttpServerConnection& connection) {
    switch (peer_acts_[peer_turn_++ % peer_acts_.size()]) {
      case PeerAct::kAnswer:
        connection.SendWhole(ReplyHead(200), "hello");
        return;
      case PeerAct::kReset:
        connection.BreakOff();
        return;
      case PeerAct::kSilence:
        return;
    }
  }

  void Start(std::size_t index) {
    ++started_;
    const NetAddress address =
        started_ % 3 == 0 ? refusing_ : server_.address();
    FetchOptions options;
    options.call.connect_timeout = kFetchTimeout;
    options.timeout = kFetchTimeout;
    HttpHead head;
    head.method = "GET";
    head.target = "/";
    fetches_[index]->Start(client_, loop_, address,
                           SerializeRequest(head, address, ""), options,
                           [this, index](const FetchOutcome&) {
                             ++completed_;
                             Act(index);
                           });
  }

  void Act(std::size_t index) {
    const std::size_t turn = callback_turn_++;
    const std::size_t other =
        targets_[turn % targets_.size()] % fetches_.size();
    switch (callback_acts_[turn % callback_acts_.size()]) {
      case CallbackAct::kStartAgain:
        Start(index);
        return;
      case CallbackAct::kCancelOther:
        fetches_[other]->Cancel();
        return;
      case CallbackAct::kDestroyOther:
        // Its own as well.
        fetches_[other] = std::make_unique<HttpFetch>();
        Start(other);
        return;
      case CallbackAct::kNothing:
        return;
    }
  }

  std::vector<PeerAct> peer_acts_;
  std::vector<CallbackAct> callback_acts_;
  std::vector<std::size_t> targets_;
  EventLoop loop_;
  LoopbackServer server_;
  NetAddress refusing_;
  HttpClient client_{loop_, {}};
  std::array<std::unique_ptr<HttpFetch>, 6> fetches_;
  std::size_t peer_turn_ = 0;
  std::size_t callback_turn_ = 0;
  std::size_t started_ = 0;
  std::size_t completed_ = 0;
};

TEST_CASE("fetches may be started, cancelled and destroyed by callbacks") {
  // Guards against an instance that ends itself as many connections fail at
  // once: a fetch or connection that is used after its release.
  rc::prop("whatever peers and callbacks do", [] {
    const auto peer_acts = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<PeerAct>>(rc::gen::element(
            PeerAct::kAnswer, PeerAct::kReset, PeerAct::kSilence)));
    const auto callback_acts = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<CallbackAct>>(rc::gen::element(
            CallbackAct::kStartAgain, CallbackAct::kCancelOther,
            CallbackAct::kDestroyOther, CallbackAct::kNothing)));
    const auto targets =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, 6)));
    FetchPlay(peer_acts, callback_acts, targets).Run();
  });
}

}  // namespace
}  // namespace carobshift
