// CallerConnections bounds what callers make an entry hold: the connections
// that have a thread, and the bodies of requests in sum. The policy is that of
// ConnectionQuota, for a thread for each connection.
//
//   CallerConnections connections({.threads = 1024, .queued = 2048,
//                                  .memory = 160 << 20});
//   if (!connections.Admit(socket)) ...  // refused
//   connections.OnOpen(socket);          // on the connection's thread
//   {
//     RequestRoom room(connections, socket);
//     if (!room.Reserve(size)) ...       // refused
//   }
//   connections.OnClose(socket);
//
// Without it, callers that send nothing, or a byte now and then, keep all
// threads, and bodies that stop short of their end use up the memory.
//
// Room is taken from a connection by the end of its receiving side: its thread
// reads the end, and answers a request that has arrived in part.
//
// Thread-safe.

#ifndef CAROBSHIFT_SERVER_HTTP_CALLER_CONNECTIONS_H_
#define CAROBSHIFT_SERVER_HTTP_CALLER_CONNECTIONS_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "carobshift/base/byte_budget.h"
#include "carobshift/base/units.h"
#include "carobshift/net/connection_quota.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

struct CallerConnectionsOptions {
  std::size_t threads = 1024;
  // Connections that may wait for a thread.
  std::size_t queued = 2048;
  // Of the process.
  Bytes memory = 160 << 20;
};

class CallerConnections {
 public:
  explicit CallerConnections(const CallerConnectionsOptions& options);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  // Returns whether the connection may be served, or wait for it. Takes the
  // place of another one if need be.
  [[nodiscard]] bool Admit(const Poco::Net::StreamSocket& socket);
  void OnOpen(const Poco::Net::StreamSocket& socket);
  void OnClose(const Poco::Net::StreamSocket& socket);
  // Closes the connections that still wait for a thread. No more are admitted.
  void CloseQueued();

  // Sets the metrics of what callers hold and of what was taken and refused.
  void WriteMetrics(Metrics& metrics) const;

 private:
  friend class RequestRoom;

  class Caller;
  using Key = const Poco::Net::SocketImpl*;

  // Call with the mutex held.
  [[nodiscard]] std::shared_ptr<Caller> Find(Key key) const;
  void LogTaken();

  mutable std::mutex mutex_;
  ByteBudget budget_;
  ConnectionQuota quota_;
  std::unordered_map<Key, std::shared_ptr<Caller>> callers_;
  ConnectionQuotaCounters logged_;
  MonotonicTime next_log_{};
};

// The room of one request, from the end of its head to its answer. Use on one
// thread.
class RequestRoom {
 public:
  RequestRoom(CallerConnections& connections,
              const Poco::Net::StreamSocket& socket);
  ~RequestRoom();
  RequestRoom(const RequestRoom&) = delete;
  RequestRoom& operator=(const RequestRoom&) = delete;

  // From now until OnBodyRead(), the body is awaited.
  void OnBodyBegins();
  // Reserves room for a body of `bytes` altogether. Returns whether there is
  // any.
  [[nodiscard]] bool Reserve(std::size_t bytes);
  // `total` bytes of the body have arrived.
  void OnBody(std::size_t total);
  // The whole body has arrived.
  void OnBodyRead();
  // Whether room was taken from the connection, so that what was read may not
  // be the whole body.
  [[nodiscard]] bool reclaimed() const;

 private:
  CallerConnections& connections_;
  std::shared_ptr<CallerConnections::Caller> caller_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_CONNECTIONS_H_
