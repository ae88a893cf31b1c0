// A library that a test loads into one of its processes. TCP connections of the
// process to 127.0.0.1 go to the loopback address in
// CAROBSHIFT_CONNECT_HOST instead, at the same port, where the test runs
// relays. All processes on loopback have the same source address, so the paths
// of a single one can't be cut at the other end.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

namespace {

using ConnectFunction = int (*)(int, const sockaddr*, socklen_t);

bool IsTcpSocket(int socket) {
  int type = 0;
  socklen_t size = sizeof(type);
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 &&
         type == SOCK_STREAM;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto next =
      reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
  const char* const host = std::getenv("CAROBSHIFT_CONNECT_HOST");
  sockaddr_in target{};
  if (host == nullptr || size != sizeof(target) ||
      address->sa_family != AF_INET || !IsTcpSocket(socket))
    return next(socket, address, size);
  std::memcpy(&target, address, sizeof(target));
  if (target.sin_addr.s_addr != htonl(INADDR_LOOPBACK))
    return next(socket, address, size);
  inet_pton(AF_INET, host, &target.sin_addr);
  return next(socket, reinterpret_cast<const sockaddr*>(&target), size);
}
