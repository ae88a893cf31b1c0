// How much work each endpoint has from all instances together.
//
//   LoadBook book;
//   book.OnStart(endpoint, footprint);
//   book.OnPeerReport(report, now);
//   const EndpointLoad load = book.Total(endpoint, now);
//
// Load pattern: engines keep the tokens of running prompts in memory, and long
// dossiers fill nine tenths of it. One instance sees a seventh of the requests;
// by its own alone it sends a dossier to an engine whose memory is full, where
// the dossier waits for seconds or pushes another one out. So instances tell
// each other what they have running, a few times a second.
//
// Figures: kReportPeriod is short against the seconds that a dossier runs, and
// costs a small instance some thirty datagrams a second among seven. With more
// instances it grows, so that an instance never handles more than
// kReportsPerSecond. A peer's report counts for kReportLife times its period; a
// dead peer's requests end with it.
//
// A part of a prompt that several requests share is counted once an instance.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_LOAD_BOOK_H_
#define CAROBSHIFT_GATEWAY_LOAD_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/caller_request.h"

namespace carobshift {

// What one request takes of an endpoint.
struct RequestFootprint {
  // Of the request alone: the prompt's last part and what may be produced.
  Tokens own_tokens = 0;
  std::vector<PromptPart> shared;

  [[nodiscard]] static RequestFootprint Of(const CallerRequest& request);
  // Where no part of it is shared with what is there.
  [[nodiscard]] Tokens AllTokens() const;
};

struct EndpointLoad {
  double tokens = 0;
  double requests = 0;
  // Of prompts that have not been read yet; the engine reads them first.
  double unread = 0;
};

// What one instance tells the others.
struct LoadReport {
  Incarnation sender;
  std::uint64_t sequence = 0;
  Milliseconds period{0};
  // By the hash of the endpoint's id.
  std::map<std::uint64_t, EndpointLoad> loads;
};

class LoadBook {
 public:
  static constexpr Milliseconds kReportPeriod{200};
  static constexpr double kReportsPerSecond = 60;
  static constexpr int kReportLife = 4;
  // An older word of a keeper tells no more than the reports do.
  static constexpr Milliseconds kKeeperLife{300};

  // Between two reports of an instance among `instances`.
  [[nodiscard]] static Milliseconds PeriodFor(std::size_t instances);

  // `unread`: what the endpoint has to read of the prompt.
  void OnStart(const EndpointId& endpoint,
               const RequestFootprint& footprint,
               double unread);
  // The prompt has been read, or will not be; once for each start.
  void OnRead(const EndpointId& endpoint, double unread);
  // Every start ends with this.
  void OnEnd(const EndpointId& endpoint, const RequestFootprint& footprint);
  void OnPeerReport(const LoadReport& report, MonotonicTime now);
  // What all others have running at the endpoint with this hash, as its keeper
  // tells (load_tally.h). For a while it goes before the peers' reports.
  void OnKeeperTold(std::uint64_t endpoint,
                    const EndpointLoad& others,
                    MonotonicTime now);
  // Called with each endpoint at which the own load has changed.
  void SetOnChange(std::function<void(const EndpointId&)> on_change) {
    on_change_ = std::move(on_change);
  }
  void Expire(MonotonicTime now);

  [[nodiscard]] EndpointLoad Total(const EndpointId& endpoint) const;
  // Tokens that the request would add there.
  [[nodiscard]] double Added(const EndpointId& endpoint,
                             const RequestFootprint& footprint) const;
  [[nodiscard]] std::map<std::uint64_t, EndpointLoad> Own() const;
  [[nodiscard]] EndpointLoad OwnAt(const EndpointId& endpoint) const;

 private:
  struct OwnLoad {
    EndpointLoad load;
    // Requests that share the part.
    std::unordered_map<std::string, int> shared;
  };
  struct Peer {
    LoadReport report;
    MonotonicTime expires;
  };

  std::unordered_map<EndpointId, OwnLoad> own_;
  std::unordered_map<Incarnation, Peer> peers_;
  // Sum over the peers. Kept up with each report: added up anew, its cost would
  // grow with the square of the number of instances.
  std::unordered_map<std::uint64_t, EndpointLoad> theirs_;

  struct KeeperWord {
    EndpointLoad others;
    MonotonicTime at{};
  };
  std::unordered_map<std::uint64_t, KeeperWord> keepers_;
  std::function<void(const EndpointId&)> on_change_;

  // Adds the peer's loads to the sums, or takes them away.
  void Add(const LoadReport& report);
  void TakeAway(const LoadReport& report);
  void Changed(const EndpointId& endpoint) const {
    if (on_change_)
      on_change_(endpoint);
  }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_BOOK_H_
