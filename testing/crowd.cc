#include "testing/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "testing/faulty_endpoints.h"

namespace carobshift {
namespace {

constexpr Milliseconds kPollInterval{10};
// The bytes of a crowd are sent once none was taken for so many intervals.
constexpr int kQuietIntervals = 50;
constexpr int kHexadecimal = 16;

sockaddr_in SocketAddress(const NetAddress& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + address.host);
  return out;
}

// One line of /proc/net/tcp.
struct KernelSocket {
  std::uint16_t local_port = 0;
  // Bytes that have not been acknowledged, and that have not been read.
  long unsent = 0;
  long unread = 0;
};

KernelSocket ParseKernelSocket(const std::string& line) {
  std::istringstream fields(line);
  std::string number;
  std::string local;
  std::string remote;
  std::string state;
  std::string queues;
  fields >> number >> local >> remote >> state >> queues;
  KernelSocket socket;
  constexpr std::string_view kListening = "0A";
  const std::size_t port = local.find(':');
  const std::size_t unread = queues.find(':');
  if (state == kListening || port == std::string::npos ||
      unread == std::string::npos)
    return socket;
  socket.local_port = static_cast<std::uint16_t>(
      std::stoul(local.substr(port + 1), nullptr, kHexadecimal));
  socket.unsent = std::stol(queues, nullptr, kHexadecimal);
  socket.unread = std::stol(queues.substr(unread + 1), nullptr, kHexadecimal);
  return socket;
}

}  // namespace

Crowd::Crowd(const NetAddress& address, int count, const BytesOf& bytes_of)
    : callers_(static_cast<std::size_t>(count)) {
  for (int i = 0; i < count; ++i) {
    callers_[static_cast<std::size_t>(i)].bytes = bytes_of(i);
    Connect(address, callers_[static_cast<std::size_t>(i)]);
  }
  const bool any = std::any_of(callers_.begin(), callers_.end(),
                               [](const Caller& c) { return !c.failed; });
  if (!any)
    throw std::runtime_error("no caller of a crowd could connect");
  for (int quiet = 0; quiet < kQuietIntervals; ++quiet) {
    if (SendSome())
      quiet = 0;
    else
      std::this_thread::sleep_for(kPollInterval);
  }
}

Crowd::~Crowd() {
  for (const Caller& caller : callers_) {
    if (caller.socket >= 0)
      close(caller.socket);
  }
}

void Crowd::Connect(const NetAddress& address, Caller& caller) {
  const sockaddr_in to = SocketAddress(address);
  caller.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                         /*protocol=*/0);
  const bool connects =
      caller.socket >= 0 &&
      (connect(caller.socket, reinterpret_cast<const sockaddr*>(&to),
               sizeof(to)) == 0 ||
       errno == EINPROGRESS);
  caller.failed = !connects;
}

bool Crowd::SendSome() {
  bool any = false;
  for (Caller& caller : callers_) {
    if (caller.failed || caller.sent == caller.bytes.size())
      continue;
    const ssize_t sent = send(caller.socket, caller.bytes.data() + caller.sent,
                              caller.bytes.size() - caller.sent, MSG_NOSIGNAL);
    if (sent > 0) {
      caller.sent += static_cast<std::size_t>(sent);
      any = true;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      caller.failed = true;
    }
  }
  return any;
}

int Crowd::sent_all() const {
  return static_cast<int>(std::count_if(
      callers_.begin(), callers_.end(),
      [](const Caller& c) { return !c.failed && c.sent == c.bytes.size(); }));
}

long HeldMemory(const Process& process,
                const std::vector<std::uint16_t>& ports) {
  constexpr long kBytesPerKilobyte = 1024;
  long in_kernel = 0;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    const KernelSocket socket = ParseKernelSocket(line);
    if (std::find(ports.begin(), ports.end(), socket.local_port) != ports.end())
      in_kernel += socket.unread + socket.unsent;
  }
  return PeakMemory(process) + in_kernel / kBytesPerKilobyte;
}

int OpenSockets(const Process& process) {
  namespace fs = std::filesystem;
  int sockets = 0;
  std::error_code gone;
  const fs::path descriptors = "/proc/" + std::to_string(process.pid()) + "/fd";
  for (const auto& entry : fs::directory_iterator(descriptors, gone)) {
    const std::string target = fs::read_symlink(entry.path(), gone).string();
    sockets += target.starts_with("socket:") ? 1 : 0;
  }
  return sockets;
}

void LimitDescriptors(const Process& process, int limit) {
  const auto most = static_cast<rlim_t>(limit);
  const rlimit limits{.rlim_cur = most, .rlim_max = most};
  if (prlimit(process.pid(), RLIMIT_NOFILE, &limits, nullptr) != 0)
    throw std::runtime_error("cannot limit the descriptors of a process");
}

}  // namespace carobshift
