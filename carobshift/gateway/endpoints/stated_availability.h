// Remembers which endpoints have said in their replies that they leave, and
// which want no requests from this instance for a time.
//
//   StatedAvailability stated(FastHash(self.value()));
//   stated.OnLeaving(endpoint, now);
//   stated.OnPause(endpoint, Milliseconds(3000), now);
//   if (!stated.IsLeaving(endpoint) && stated.MaySend(endpoint, now))
//     stated.OnSend(endpoint, now);
//   stated.OnRun(endpoint, sent, now);  // it ran a request sent then
//
// Load pattern: an endpoint is about to stop, or is overloaded, and says so to
// whoever asks, while its record in the log is old: the log is down, or the
// endpoint doesn't write such a wish at all. Each request that reaches it is
// turned away or lost, and costs a retry.
//
// A statement belongs to one incarnation of an endpoint. That it leaves is
// final; only a record with a later start time ends it, whatever older records
// or replies without the statement say. A pause lasts until its end; a shorter
// one, or none, in a later reply doesn't shorten it, since several requests may
// have been under way when the endpoint answered.
//
// The end of a pause. An endpoint that rests tells all instances the same at
// the same moment; if they all came back at the end of the pause, they would
// overload it at once. Each instance adds a part of up to kMaxSpread to the
// time, by the hash of itself and the endpoint, and then sends one request each
// kTrialInterval until one has run.
//
// Thread-compatible. Holds an entry for each endpoint that has made such a
// statement, until it has been unknown for kRetention: a record that expires
// while the log is down may come back.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_STATED_AVAILABILITY_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_STATED_AVAILABILITY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/endpoints/rate_limits.h"

namespace carobshift {

class StatedAvailability {
 public:
  // Longer pauses are cut to this.
  static constexpr Milliseconds kMaxPause{600'000};
  // The pause if an endpoint states one that can't be read.
  static constexpr Milliseconds kUnreadablePause{1000};
  static constexpr Milliseconds kMaxSpread{500};
  static constexpr Milliseconds kTrialInterval{200};
  static constexpr Milliseconds kRetention{600'000};

  // `instance` is a hash that differs between instances.
  explicit StatedAvailability(std::uint64_t instance) : instance_(instance) {}

  // Returns true if this is new.
  bool OnLeaving(const EndpointIncarnation& endpoint, MonotonicTime now);
  // The endpoint wants nothing from this instance for `pause`. Returns true if
  // that starts a pause or makes one longer.
  bool OnPause(const EndpointIncarnation& endpoint,
               Milliseconds pause,
               MonotonicTime now);
  // Call when a request is sent, whatever its outcome.
  void OnSend(const EndpointIncarnation& endpoint, MonotonicTime now);
  // The endpoint has run a request that was sent at `sent`.
  void OnRun(const EndpointIncarnation& endpoint, MonotonicTime sent);
  // Forgets endpoints that haven't been among `known` for kRetention.
  void Expire(const std::map<EndpointId, EndpointRecord>& known,
              MonotonicTime now);

  [[nodiscard]] bool IsLeaving(const EndpointIncarnation& endpoint) const;
  // Returns the rest of the pause; zero if there is none.
  [[nodiscard]] Milliseconds PauseLeft(const EndpointIncarnation& endpoint,
                                       MonotonicTime now) const;
  // Returns whether a request may be sent now: there is no pause, or it is over
  // and the next trial is due.
  [[nodiscard]] bool MaySend(const EndpointIncarnation& endpoint,
                             MonotonicTime now) const;
  // Returns the time until MaySend() holds; zero if it does.
  [[nodiscard]] Milliseconds WaitFor(const EndpointIncarnation& endpoint,
                                     MonotonicTime now) const;

 private:
  struct Entry {
    Entry() = default;
    explicit Entry(EndpointStartTime start) : start_time(start) {}

    EndpointStartTime start_time{};
    bool leaving = false;
    // When the pause ends and trials begin; empty without one, or if a request
    // has run since.
    std::optional<MonotonicTime> pause_end;
    MonotonicTime next_send{};
    // When the endpoint was last known or made a statement.
    MonotonicTime last_known{};
  };

  // Returns null if the incarnation has made no statement.
  template <typename Entries>
  [[nodiscard]] static auto FindIn(Entries& entries,
                                   const EndpointIncarnation& endpoint)
      -> decltype(&entries.begin()->second);
  // Null if a later incarnation has made a statement.
  [[nodiscard]] Entry* FindOrCreate(const EndpointIncarnation& endpoint,
                                    MonotonicTime now);
  [[nodiscard]] Milliseconds SpreadOf(const EndpointId& endpoint,
                                      Milliseconds pause) const;

  std::uint64_t instance_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_STATED_AVAILABILITY_H_
