// Runs fetches against peers that answer, refuse, reset or don't reply, with
// callbacks that start, cancel and destroy fetches in random order.

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
constexpr Milliseconds kRunTime{40};

// Sequences of actions of the peers and of the callbacks.
enum class PeerAction { kAnswer, kReset, kSilence };
enum class CallbackAction {
  kStartAgain,
  kCancelOther,
  kDestroyOther,
  kNothing
};

class FetchScenario {
 public:
  FetchScenario(std::vector<PeerAction> peer_actions,
                std::vector<CallbackAction> callback_actions,
                std::vector<std::size_t> targets)
      : peer_actions_(std::move(peer_actions)),
        callback_actions_(std::move(callback_actions)),
        targets_(std::move(targets)),
        server_(loop_, [this](auto& connection, const auto&) {
          OnRequest(connection);
        }) {
    // A closed port refuses connections immediately.
    LoopbackServer closed_server(loop_, [](auto&, const auto&) {});
    refusing_address_ = closed_server.address();
  }

  // Checks that each start leads to at most one callback.
  void Run() {
    for (std::size_t i = 0; i < fetches_.size(); ++i) {
      fetches_[i] = std::make_unique<HttpFetch>();
      Start(i);
    }
    const MonotonicTime end = MonotonicNow() + kRunTime;
    while (MonotonicNow() < end)
      loop_.RunOnce(Milliseconds(1));
    RC_ASSERT(completed_ <= started_);
  }

 private:
  void OnRequest(HttpServerConnection& connection) {
    switch (peer_actions_[peer_step_++ % peer_actions_.size()]) {
      case PeerAction::kAnswer:
        connection.SendCompleteReply(ReplyHead(200), "hello");
        return;
      case PeerAction::kReset:
        connection.Abort();
        return;
      case PeerAction::kSilence:
        return;
    }
  }

  void Start(std::size_t index) {
    ++started_;
    const NetAddress address =
        started_ % 3 == 0 ? refusing_address_ : server_.address();
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
    const std::size_t step = callback_step_++;
    const std::size_t other =
        targets_[step % targets_.size()] % fetches_.size();
    switch (callback_actions_[step % callback_actions_.size()]) {
      case CallbackAction::kStartAgain:
        Start(index);
        return;
      case CallbackAction::kCancelOther:
        fetches_[other]->Cancel();
        return;
      case CallbackAction::kDestroyOther:
        // This may be the fetch whose callback is running.
        fetches_[other] = std::make_unique<HttpFetch>();
        Start(other);
        return;
      case CallbackAction::kNothing:
        return;
    }
  }

  std::vector<PeerAction> peer_actions_;
  std::vector<CallbackAction> callback_actions_;
  std::vector<std::size_t> targets_;
  EventLoop loop_;
  LoopbackServer server_;
  NetAddress refusing_address_;
  HttpClient client_{loop_, {}};
  std::array<std::unique_ptr<HttpFetch>, 6> fetches_;
  std::size_t peer_step_ = 0;
  std::size_t callback_step_ = 0;
  std::size_t started_ = 0;
  std::size_t completed_ = 0;
};

TEST_CASE("fetches may be started, cancelled and destroyed by callbacks") {
  // Guards against use after free when many connections fail at the same time:
  // a fetch or connection that is used after its release crashes the instance.
  rc::prop("whatever peers and callbacks do", [] {
    const auto peer_actions = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<PeerAction>>(rc::gen::element(
            PeerAction::kAnswer, PeerAction::kReset, PeerAction::kSilence)));
    const auto callback_actions = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<CallbackAction>>(rc::gen::element(
            CallbackAction::kStartAgain, CallbackAction::kCancelOther,
            CallbackAction::kDestroyOther, CallbackAction::kNothing)));
    const auto targets =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, 6)));
    FetchScenario(peer_actions, callback_actions, targets).Run();
  });
}

}  // namespace
}  // namespace carobshift
