// Many callers at once that send bytes on connections of their own and keep
// them open, and what a process holds for them.
//
//   Crowd crowd(address, 600, [](int i) { return UnfinishedRequest(i); });
//   CHECK(HeldMemory(process, {address.port}) < kSmallestInstance);
//
// Linux only: sizes are read from /proc.

#ifndef TESTING_CROWD_H_
#define TESTING_CROWD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/net_address.h"
#include "testing/process.h"

namespace carobshift {

// Thread-compatible.
class Crowd {
 public:
  using BytesOf = std::function<std::string(int caller)>;

  // Opens `count` connections to `address`, sends on each what `bytes_of`
  // returns for its number, all of them at the same time, and waits until no
  // more is taken. Callers that are refused or cut off are left out from then
  // on. Throws std::runtime_error if no connection can be opened.
  Crowd(const NetAddress& address, int count, const BytesOf& bytes_of);
  // Closes the connections.
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Callers that could send all of their bytes.
  [[nodiscard]] int sent_all() const;

 private:
  struct Caller {
    int socket = -1;
    std::string bytes;
    std::size_t sent = 0;
    bool failed = false;
  };

  static void Connect(const NetAddress& address, Caller& caller);
  // Sends what the connections take now. Returns whether any byte was taken.
  bool SendSome();

  std::vector<Caller> callers_;
};

// Returns the memory that a process holds, in KB: its largest resident size so
// far, and what lies in the kernel's buffers of connections to `ports`.
[[nodiscard]] long HeldMemory(const Process& process,
                              const std::vector<std::uint16_t>& ports);

// Returns the number of sockets that the process has open.
[[nodiscard]] int OpenSockets(const Process& process);

// Lowers the number of descriptors that a running process may have open.
// Throws std::runtime_error on failure.
void LimitDescriptors(const Process& process, int limit);

}  // namespace carobshift

#endif  // TESTING_CROWD_H_
