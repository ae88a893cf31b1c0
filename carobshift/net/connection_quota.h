// ConnectionQuota bounds what the callers of a process hold of it: the
// connections on all its listeners in number, and the bytes that are kept for
// them in sum. As in a resource quota with reclamation, a caller that needs
// room takes it from those that hold it without use.
//
//   ConnectionQuota quota({.max_connections = 1000, .max_active = 900},
//   budget); const auto slot = quota.Admit(now); if (slot == nullptr) ...  //
//   refused slot->Attach(member, socket); if (!quota.Grow(reserved, bytes,
//   asking, now)) ...  // refused
//
// What is reclaimed, in this order:
//
// - For a connection's place: connections that this side has ended and whose
//   peers have not.
// - Requests that don't arrive: their callers are told that they have not run.
// - Idle connections, the longest idle first.
// - Requests that have just begun, the slowest first, and connections that have
//   just become idle.
// - Replies that their callers don't take.
//
// Requests that are served keep what they hold. A body above
// ByteBudget::kSmallBytes takes room only from requests that don't arrive, or
// many of them at once would displace each other.
//
// Without reclamation, the callers that came first would keep out all others
// for as long as they stay; timeouts alone don't help, since a caller that
// sends a byte now and then meets none.
//
// Thread-compatible: one event loop.

#ifndef CAROBSHIFT_NET_CONNECTION_QUOTA_H_
#define CAROBSHIFT_NET_CONNECTION_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <vector>

#include "carobshift/base/byte_budget.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class ConnectionState {
  // No byte of a request has arrived.
  kIdle,
  // A request has arrived in part.
  kReading,
  kServing,
  // The reply is complete, and its caller has not taken all of it.
  kSending,
};

struct ConnectionActivity {
  ConnectionState state = ConnectionState::kIdle;
  // Since when it has been in this state.
  MonotonicTime since{};
  // At which bytes of the request that are kept have arrived lately.
  double bytes_per_second = 0;
};

// A connection from which room may be taken.
class QuotaMember {
 public:
  virtual ~QuotaMember() = default;
  [[nodiscard]] virtual ConnectionActivity activity() const = 0;
  // Ends the connection, with an answer if a request has arrived in part. An
  // idle one on which bytes have just arrived may go on.
  virtual void Reclaim() = 0;
};

// A socket that may be closed at any time.
class QuotaSocket {
 public:
  virtual ~QuotaSocket() = default;
  virtual void Close() = 0;
};

class ConnectionQuota;

// The place of one connection, to be held until its socket is closed.
class ConnectionSlot : public std::enable_shared_from_this<ConnectionSlot> {
 public:
  ConnectionSlot(ConnectionQuota& quota, ByteReservation reserved);
  ~ConnectionSlot();
  ConnectionSlot(const ConnectionSlot&) = delete;
  ConnectionSlot& operator=(const ConnectionSlot&) = delete;

  void Attach(std::weak_ptr<QuotaMember> member,
              std::weak_ptr<QuotaSocket> socket);
  // This side has ended the connection; its socket is still open.
  void OnEnded(MonotonicTime now);

 private:
  friend class ConnectionQuota;

  ConnectionQuota& quota_;
  ByteReservation reserved_;
  std::weak_ptr<QuotaMember> member_;
  std::weak_ptr<QuotaSocket> socket_;
  bool ended_ = false;
  MonotonicTime ended_at_{};
};

struct ConnectionQuotaOptions {
  // Open sockets on all listeners together.
  std::size_t max_connections = 1000;
  // Of these, connections that this side has not ended. Beyond, places are
  // taken; refused is a connection only for want of a socket.
  std::size_t max_active = 875;
};

// What was taken and refused so far.
struct ConnectionQuotaCounters {
  std::uint64_t ended_closed = 0;
  std::uint64_t idle_closed = 0;
  std::uint64_t unfinished_refused = 0;
  std::uint64_t unread_replies_cut = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t bytes_refused = 0;
  std::uint64_t inputs_discarded = 0;

  friend bool operator==(const ConnectionQuotaCounters&,
                         const ConnectionQuotaCounters&) = default;
};

class ConnectionQuota {
 public:
  // What a connection takes by itself: its objects and the kernel's.
  static constexpr std::size_t kConnectionBytes = std::size_t{4} << 10;
  // A request that has lasted for the grace time doesn't arrive if its bytes
  // come at less than this.
  static constexpr double kMinBytesPerSecond = 16384;
  static constexpr Milliseconds kGraceTime{1000};

  // `budget` must outlive the quota.
  ConnectionQuota(const ConnectionQuotaOptions& options, ByteBudget& budget);
  ~ConnectionQuota();
  ConnectionQuota(const ConnectionQuota&) = delete;
  ConnectionQuota& operator=(const ConnectionQuota&) = delete;

  // Returns a place for one more connection, or null if there is none. The
  // quota must outlive it.
  [[nodiscard]] std::shared_ptr<ConnectionSlot> Admit(MonotonicTime now);
  // Takes places from other connections than `asking` until one is free, as
  // Admit() does.
  void ReclaimPlaces(const QuotaMember* asking, MonotonicTime now);
  // Reserves `size` bytes altogether. Takes room from other connections than
  // `asking`, which may be null. Returns false, and reserves nothing more, if
  // there is none.
  [[nodiscard]] bool Grow(ByteReservation& reserved,
                          std::size_t size,
                          const QuotaMember* asking,
                          MonotonicTime now);

  // Bytes of a caller had no room while its request was served.
  void CountDiscarded() { ++counters_.inputs_discarded; }

  [[nodiscard]] ByteBudget& budget() { return budget_; }
  [[nodiscard]] const ByteBudget& budget() const { return budget_; }
  // Open sockets, of which this side has ended some.
  [[nodiscard]] std::size_t connections() const { return slots_.size(); }
  [[nodiscard]] std::size_t ended() const { return ended_; }
  [[nodiscard]] std::size_t max_connections() const {
    return options_.max_connections;
  }
  [[nodiscard]] const ConnectionQuotaCounters& counters() const {
    return counters_;
  }

 private:
  friend class ConnectionSlot;

  // In the order in which room is taken.
  enum class Rank { kEnded, kStalled, kIdle, kBegun, kUnreadReply, kKept };
  struct Candidate {
    Rank rank = Rank::kKept;
    // The least goes first.
    double order = 0;
    std::shared_ptr<ConnectionSlot> slot;
  };

  [[nodiscard]] static Candidate Judge(std::shared_ptr<ConnectionSlot> slot,
                                       MonotonicTime now);
  // Connections of these ranks from which room may be taken, in order.
  [[nodiscard]] std::vector<Candidate> Candidates(Rank first,
                                                  Rank last,
                                                  const QuotaMember* asking,
                                                  MonotonicTime now) const;
  void Take(const Candidate& candidate);
  const ConnectionQuotaOptions options_;
  ByteBudget& budget_;
  std::unordered_set<ConnectionSlot*> slots_;
  std::size_t ended_ = 0;
  ConnectionQuotaCounters counters_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_CONNECTION_QUOTA_H_
