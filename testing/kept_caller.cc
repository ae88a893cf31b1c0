#include "testing/kept_caller.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "carobshift/net/blocking_http_call.h"
#include "carobshift/net/http_message.h"
#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

constexpr std::size_t kLongBody = 60000;
constexpr std::size_t kShortBody = 10;
constexpr double kLongBodyShare = 0.3;
constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kReadTimeout{10000};
constexpr Milliseconds kReconnectPause{50};
constexpr int kOk = 200;
// Streams of both kinds, requests that may run once and idempotent ones.
constexpr std::array<const char*, 4> kPaths = {"/review/1", "/ask/1", "/book/1",
                                               "/find/1"};

bool IsStream(const std::string& path) {
  return path.starts_with("/review") || path.starts_with("/ask");
}

std::string HeadOf(const KeptCallerRequest& request, std::size_t body_size) {
  HttpHead head;
  head.method = "POST";
  head.target = request.path;
  head.Set("Host", "api.example");
  head.Set("Content-Length", std::to_string(body_size));
  head.Set("Request-Id", request.id);
  head.Set("Deadline-Ms", "6000");
  head.Set("X-Api-Key", GatewayCluster::kKey);
  if (IsStream(request.path)) {
    head.Set("Model", "m1");
    head.Set("Token-Counts", "300,50");
    head.Set("Prompt-Prefix", "aa:100,bb:100,cc:100");
  }
  return SerializeRequestHead(head);
}

}  // namespace

KeptCaller::KeptCaller(KeptCallerOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void KeptCaller::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    if (!socket_ && !Connect()) {
      std::this_thread::sleep_for(kReconnectPause);
      continue;
    }
    Pause(options_.max_pause);
    Ask();
  }
}

int KeptCaller::served() const {
  return static_cast<int>(std::count_if(
      requests_.begin(), requests_.end(), [](const KeptCallerRequest& request) {
        return request.whole && request.status == kOk;
      }));
}

bool KeptCaller::Connect() {
  const std::size_t gateway = random_.Below(options_.gateways.size());
  try {
    socket_ = ConnectBlocking(options_.gateways[gateway], kConnectTimeout,
                              kReadTimeout);
  } catch (const Poco::Exception&) {
    ++failed_connects_;
    return false;
  }
  return true;
}

void KeptCaller::Pause(Milliseconds longest) {
  if (longest.count() > 0)
    std::this_thread::sleep_for(random_.Between(Milliseconds(0), longest));
}

void KeptCaller::Ask() {
  KeptCallerRequest request{
      .id = options_.name + "-" + std::to_string(requests_.size() + 1),
      .path = kPaths[random_.Below(kPaths.size())]};
  const std::string body(
      random_.Chance(kLongBodyShare) ? kLongBody : kShortBody, 'b');
  try {
    Exchange(body, request);
  } catch (const Poco::Exception& e) {
    request.failure = e.displayText();
    socket_.reset();
  }
  requests_.push_back(std::move(request));
}

void KeptCaller::Exchange(const std::string& body, KeptCallerRequest& request) {
  BlockingHttpCall call(*socket_);
  call.Send(HeadOf(request, body.size()));
  Pause(options_.max_body_pause);
  call.Send(body);
  request.sent = MonotonicNow();
  request.status = call.ReadHead().status;
  std::string text;
  while (call.ReadBody(text)) {
  }
  request.whole = true;
  request.expected_body = text == ExpectedBody(request.path, body);
  if (!call.reusable())
    socket_.reset();
}

std::string KeptCaller::ExpectedBody(const std::string& path,
                                     const std::string& body) const {
  if (!IsStream(path))
    return "done " + body;
  std::string text;
  for (int i = 1; i <= options_.events; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

}  // namespace carobshift
