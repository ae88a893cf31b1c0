// Finds the address of another entry's peer server and the incarnation that
// runs there.
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

// Thread-safe. May block for a few hundred milliseconds.
class PeerDirectory {
 public:
  virtual ~PeerDirectory() = default;
  // Finds the entry if its incarnation is `wanted`, or in any incarnation if
  // `wanted` is empty. Returns nothing if the entry is unknown, does not answer
  // or has another incarnation.
  virtual std::optional<PeerAddress> Find(
      const EntryId& entry,
      std::optional<Incarnation> wanted) = 0;
  // The other entries, in no particular order. They may not be alive.
  virtual std::vector<EntryId> Others() = 0;
};

// Finds peers by the membership. Gossip may lag behind a restart, and an entry
// that has just started knows no members. In these cases the peer is asked
// directly at its address in the platform's instance list. Otherwise a caller
// whose key was issued by a restarted entry would briefly be told that the
// entry is gone.
class MembershipPeerDirectory : public PeerDirectory {
 public:
  explicit MembershipPeerDirectory(EntryContext& context) : context_(context) {}
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
