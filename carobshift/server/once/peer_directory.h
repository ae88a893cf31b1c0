// Where the peer interface of another entry is, and which incarnation of it
// lives there.
//
//   std::optional<PeerAddress> home = directory.Find(EntryId("entry-2"),
//                                                   incarnation);

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
  // The entry in the life `wanted`, or in whichever it is in now if none is.
  // Nothing if the entry is not known, doesn't answer or is in another life.
  virtual std::optional<PeerAddress> Find(
      const EntryId& entry,
      std::optional<Incarnation> wanted) = 0;
  // The other entries, in no order; without asking whether they live.
  virtual std::vector<EntryId> Others() = 0;
};

// Takes the address from the membership. Gossip may lag behind a restart, and
// an entry that starts knows no member yet; then the entry concerned is asked
// at its address in the platform's list. Without that a caller whose key is of
// a new life would be told for a moment that its home is gone.
class EntryPeers : public PeerDirectory {
 public:
  explicit EntryPeers(EntryContext& context) : context_(context) {}
  std::optional<PeerAddress> Find(const EntryId& entry,
                                  std::optional<Incarnation> wanted) override;
  std::vector<EntryId> Others() override;

 private:
  [[nodiscard]] std::optional<PeerAddress> FindMember(
      const EntryId& entry) const;
  [[nodiscard]] std::optional<PeerAddress> AskListed(
      const EntryId& entry) const;

  EntryContext& context_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_PEER_DIRECTORY_H_
