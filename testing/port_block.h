// A block of consecutive ports for the child processes of one test. Tests run
// concurrently, also from several checkouts on one machine, so no two live
// blocks overlap.
//
//   PortBlock ports({"127.0.1.1", "127.0.1.2"});
//   WriteSettings(/*front_port=*/ports.first());

#ifndef TESTING_PORT_BLOCK_H_
#define TESTING_PORT_BLOCK_H_

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <string>
#include <vector>

namespace carobshift {

class PortBlock {
 public:
  static constexpr int kSize = 10;

  // Takes a block that no other PortBlock has, in any process, and whose ports
  // are free on all `hosts`, for TCP and UDP. Throws std::runtime_error if
  // there is none. The block is below the range of ephemeral ports.
  explicit PortBlock(const std::vector<std::string>& hosts);

  [[nodiscard]] std::uint16_t first() const { return first_; }

 private:
  // Bound to the block's first port on a host that nothing else uses. The
  // kernel refuses a second such socket, and closes this one when its process
  // ends, in whatever way.
  Poco::Net::ServerSocket reservation_;
  std::uint16_t first_ = 0;
};

}  // namespace carobshift

#endif  // TESTING_PORT_BLOCK_H_
