// Where the peer interface of another entry is, and which incarnation of it
// lives there.
//
//   std::optional<PeerAddress> home = directory.Find(EntryId("entry-2"));

#ifndef CAROBSHIFT_SERVER_ONCE_PEER_DIRECTORY_H_
#define CAROBSHIFT_SERVER_ONCE_PEER_DIRECTORY_H_

#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/server/entry_context.h"

namespace carobshift {

struct PeerAddress {
  EntryId entry;
  NetAddress address;
  Incarnation incarnation;
};

// Thread-safe; may block for a few hundred milliseconds.
class PeerDirectory {
 public:
  virtual ~PeerDirectory() = default;
  // Nothing if the entry is not known or doesn't answer.
  virtual std::optional<PeerAddress> Find(const EntryId& entry) = 0;
  // The other entries, in no order; without asking whether they live.
  virtual std::vector<EntryId> Others() = 0;
};

// Takes the entries from the platform's list and asks the one concerned, on
// its HTTP address, for its peer port and incarnation. Asked anew each time,
// since an answer that is kept may be of a life that has ended; that costs a
// round trip of a few milliseconds for requests that come to the wrong entry.
class ListedPeers : public PeerDirectory {
 public:
  explicit ListedPeers(EntryContext& context) : context_(context) {}
  std::optional<PeerAddress> Find(const EntryId& entry) override;
  std::vector<EntryId> Others() override;

 private:
  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_PEER_DIRECTORY_H_
