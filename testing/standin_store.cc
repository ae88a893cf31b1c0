// Stand-in for a KV cache store: a memory tier, a slower disk tier behind it,
// and one rate-limited link. An object is readable only after it is sealed, and
// only with the generation and checksum of its seal. Faults besides the common
// ones: `full` (true: rejects new objects), `link_bytes_per_second`,
// `corrupt_reads` (how many reads return a flipped bit).

#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "carobshift/base/digest.h"
#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr std::size_t kChunkBytes = 64 * 1024;
// An unsealed upload without a write for this long is dropped; its engine has
// probably died.
constexpr Seconds kUnsealedUploadTtl{30};

struct Limits {
  Bytes memory = 0;
  Bytes capacity = 0;
  double link_rate = 0;
  double disk_rate = 0;
};

class Store {
 public:
  Store(Faults& faults, const Limits& limits)
      : faults_(faults),
        limits_(limits),
        link_(limits.link_rate),
        disk_(limits.disk_rate) {}

  void CreateObject(StandinExchange& exchange) {
    const Bytes bytes = exchange.Json().at("bytes").get<Bytes>();
    const std::lock_guard lock(mutex_);
    DropStaleUploads();
    if (faults_.Flag("full") || used_ + bytes > limits_.capacity)
      return exchange.ReplyError(ResultCode::kStoreFull, "no room");
    const std::string id = "o" + std::to_string(++last_id_);
    Object& object = objects_[id];
    object.reserved = bytes;
    object.last_write = MonotonicNow();
    used_ += bytes;
    exchange.Reply({{"object", id}, {"generation", generation_}});
  }

  void Write(StandinExchange& exchange) {
    AcquireLink(exchange.body().size());
    const std::lock_guard lock(mutex_);
    bytes_in_ += static_cast<Bytes>(exchange.body().size());
    Object* object = Find(exchange);
    if (object == nullptr || object->sealed ||
        static_cast<Bytes>(object->data.size() + exchange.body().size()) >
            object->reserved)
      return Reject(exchange);
    object->data += exchange.body();
    object->last_write = MonotonicNow();
    exchange.Reply({{"ok", true}});
  }

  void Seal(StandinExchange& exchange) {
    const auto checksum = exchange.Json().at("checksum").get<std::uint64_t>();
    const std::lock_guard lock(mutex_);
    Object* object = Find(exchange);
    if (object == nullptr || object->sealed ||
        FastHash(object->data) != checksum)
      return Reject(exchange);
    object->sealed = true;
    object->checksum = checksum;
    // New objects go to the memory tier; what no longer fits moves to the disk
    // tier.
    memory_used_ += object->reserved;
    for (auto& [id, other] : objects_) {
      if (memory_used_ <= limits_.memory)
        break;
      if (other.sealed && !other.on_disk) {
        other.on_disk = true;
        memory_used_ -= other.reserved;
      }
    }
    exchange.Reply({{"ok", true}, {"generation", generation_}});
  }

  void Read(StandinExchange& exchange) {
    std::string data;
    bool on_disk = false;
    {
      const std::lock_guard lock(mutex_);
      const Object* object =
          FindSealed(exchange.path()[1], exchange.QueryNumber("generation"),
                     exchange.QueryNumber("checksum"));
      if (object == nullptr)
        return Reject(exchange);
      data = object->data;
      on_disk = object->on_disk;
    }
    if (faults_.ConsumeOne("corrupt_reads"))
      data[data.size() / 2] ^= 1;
    exchange.BeginStream("application/octet-stream");
    for (std::size_t at = 0; at < data.size(); at += kChunkBytes) {
      const auto chunk = std::string_view(data).substr(at, kChunkBytes);
      if (on_disk)
        disk_.Acquire(static_cast<double>(chunk.size()));
      AcquireLink(chunk.size());
      if (!exchange.SendChunk(chunk))
        return;
      const std::lock_guard lock(mutex_);
      bytes_out_ += static_cast<Bytes>(chunk.size());
    }
  }

  void Pin(StandinExchange& exchange) {
    const json body = exchange.Json();
    const std::lock_guard lock(mutex_);
    Object* object = FindSealed(body.at("object").get<std::string>(),
                                body.at("generation").get<std::uint64_t>(),
                                body.at("checksum").get<std::uint64_t>());
    if (object == nullptr)
      return Reject(exchange);
    const auto until =
        MonotonicNow() + Milliseconds(body.at("duration_ms").get<int>());
    object->pinned_until = std::max(object->pinned_until, until);
    exchange.Reply({{"ok", true}});
  }

  void Delete(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    const std::string& id = exchange.path()[1];
    const Object* object = FindSealed(id, exchange.QueryNumber("generation"),
                                      exchange.QueryNumber("checksum"));
    if (object == nullptr || object->pinned_until > MonotonicNow())
      return Reject(exchange);
    Erase(objects_.find(id));
    exchange.Reply({{"ok", true}});
  }

  void Status(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    exchange.Reply({{"generation", generation_},
                    {"used", used_},
                    {"capacity", limits_.capacity},
                    {"objects", objects_.size()},
                    {"link_bytes_in", bytes_in_},
                    {"link_bytes_out", bytes_out_}});
  }

 private:
  struct Object {
    Bytes reserved = 0;
    std::string data;
    bool sealed = false;
    bool on_disk = false;
    std::uint64_t checksum = 0;
    MonotonicTime pinned_until;
    MonotonicTime last_write;
  };
  using Objects = std::map<std::string, Object>;

  static void Reject(StandinExchange& exchange) {
    exchange.ReplyError(ResultCode::kBlockRejected, "no such object");
  }

  void AcquireLink(std::size_t bytes) {
    if (const auto rate = faults_.Number("link_bytes_per_second"); rate > 0)
      link_.set_rate(static_cast<double>(rate));
    link_.Acquire(static_cast<double>(bytes));
  }

  Object* Find(const StandinExchange& exchange) {
    const auto found = objects_.find(exchange.path()[1]);
    return found == objects_.end() ? nullptr : &found->second;
  }

  Object* FindSealed(const std::string& id,
                     std::uint64_t generation,
                     std::uint64_t checksum) {
    const auto found = objects_.find(id);
    if (found == objects_.end() || generation != generation_ ||
        !found->second.sealed || found->second.checksum != checksum)
      return nullptr;
    return &found->second;
  }

  Objects::iterator Erase(Objects::iterator at) {
    used_ -= at->second.reserved;
    if (at->second.sealed && !at->second.on_disk)
      memory_used_ -= at->second.reserved;
    return objects_.erase(at);
  }

  void DropStaleUploads() {
    const MonotonicTime oldest = MonotonicNow() - kUnsealedUploadTtl;
    for (auto at = objects_.begin(); at != objects_.end();) {
      const bool stale = !at->second.sealed && at->second.last_write < oldest;
      at = stale ? Erase(at) : std::next(at);
    }
  }

  Faults& faults_;
  const Limits limits_;
  RateLimiter link_;
  RateLimiter disk_;
  std::mutex mutex_;
  const std::uint64_t generation_ = RandomUint64();
  std::uint64_t last_id_ = 0;
  Objects objects_;
  Bytes used_ = 0;
  Bytes memory_used_ = 0;
  Bytes bytes_in_ = 0;
  Bytes bytes_out_ = 0;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_store");
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  options.add_options()("memory-bytes", "memory tier", number("67108864"))(
      "capacity-bytes", "both tiers", number("268435456"))(
      "link-bytes-per-second", "0: no limit", number("100000000"))(
      "disk-bytes-per-second", "disk tier", number("50000000"));
  const auto flags = options.parse(argc, argv);
  carobshift::Limits limits;
  limits.memory =
      static_cast<carobshift::Bytes>(flags["memory-bytes"].as<double>());
  limits.capacity =
      static_cast<carobshift::Bytes>(flags["capacity-bytes"].as<double>());
  limits.link_rate = flags["link-bytes-per-second"].as<double>();
  limits.disk_rate = flags["disk-bytes-per-second"].as<double>();
  carobshift::StandinServer server;
  carobshift::Store store(server.faults(), limits);
  using Exchange = carobshift::StandinExchange;
  server.Route("POST", "/objects", [&](Exchange& x) { store.CreateObject(x); });
  server.Route("PUT", "/objects/*/parts/*",
               [&](Exchange& x) { store.Write(x); });
  server.Route("POST", "/objects/*/seal", [&](Exchange& x) { store.Seal(x); });
  server.Route("GET", "/objects/*", [&](Exchange& x) { store.Read(x); });
  server.Route("DELETE", "/objects/*", [&](Exchange& x) { store.Delete(x); });
  server.Route("POST", "/pins", [&](Exchange& x) { store.Pin(x); });
  server.Route("GET", "/status", [&](Exchange& x) { store.Status(x); });
  return server.Run(flags["listen"].as<std::string>());
}
