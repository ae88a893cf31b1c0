#include "carobshift/gateway/streams/sole_version_learner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/streams/stream_continuation.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(1000)};
const ServiceName kService("llm");

EndpointRecord RecordOf(const std::string& id, const std::string& software) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kService;
  record.software = SoftwareVersion(software);
  return record;
}

ServingConfig ConfigOf(bool resumable) {
  ServingConfig config;
  Route& route = config.routes.emplace_back();
  route.streaming = true;
  route.resumable = resumable;
  route.timeout = Milliseconds(15'000);
  route.services = {{kService, 1}};
  return config;
}

// Instances that read the same records at the same time, and answer each other
// at once.
class Deployment {
 public:
  explicit Deployment(std::size_t instances) : instances_(instances) {
    records_.push_back(RecordOf("e1", "v1"));
    for (std::size_t i = 0; i < instances; ++i)
      Restart(i);
  }

  void Restart(std::size_t number) {
    instances_[number] = std::make_unique<Instance>(*this, number);
    Instance& instance = *instances_[number];
    instance.registry.OnRecordsFollowedSince(now_);
    for (const EndpointRecord& record : records_)
      instance.registry.Put(record, now_);
  }
  void List(const EndpointRecord& record) {
    records_.push_back(record);
    for (const auto& instance : instances_)
      instance->registry.Put(record, now_);
  }
  void Unlist(const EndpointId& id) {
    std::erase_if(records_, [&id](const auto& one) { return one.id == id; });
    for (const auto& instance : instances_)
      instance->registry.Remove(id, RemovalCause::kAnnounced, now_);
  }
  void RunFor(Milliseconds time) {
    const MonotonicTime end = now_ + time;
    while (now_ < end) {
      now_ += Milliseconds(100);
      for (const auto& instance : instances_)
        instance->learner.OnTick(config, LongestStream(config), now_);
    }
  }
  [[nodiscard]] std::optional<SoftwareVersion> SoleVersionAt(
      std::size_t number) const {
    return instances_[number]->registry.software_history().SoleVersion(
        kService, LongestStream(config), now_);
  }
  [[nodiscard]] int questions() const { return questions_; }

  ServingConfig config = ConfigOf(/*resumable=*/true);

 private:
  class Directory : public StreamDirectory {
   public:
    Directory(Deployment& deployment, std::size_t self)
        : deployment_(deployment), self_(self) {}
    void Publish(const StreamRecord&) override {}
    void Find(StreamKey, const SoleVersionQuestion&, Done) override {}
    void FindSoleVersion(const SoleVersionQuestion&,
                         SoleVersionDone done) override {
      ++deployment_.questions_;
      for (std::size_t i = 0; i < deployment_.instances_.size(); ++i) {
        const auto sole =
            i == self_ ? std::nullopt : deployment_.SoleVersionAt(i);
        if (sole)
          return done(sole, deployment_.now_);
      }
      done(std::nullopt, deployment_.now_);
    }

   private:
    Deployment& deployment_;
    const std::size_t self_;
  };
  struct Instance {
    Instance(Deployment& deployment, std::size_t self)
        : directory(deployment, self) {}
    EndpointRegistry registry;
    Directory directory;
    SoleVersionLearner learner{registry, directory};
  };

  MonotonicTime now_ = kStart;
  std::vector<EndpointRecord> records_;
  std::vector<std::unique_ptr<Instance>> instances_;
  int questions_ = 0;
};

// Guards against streams that are refused, though there is one version only,
// after a planned restart of each instance in turn.
TEST_CASE("the only version stays known while instances restart in turn") {
  Deployment deployment(7);
  deployment.RunFor(LongestStream(deployment.config));
  REQUIRE(deployment.SoleVersionAt(0) == SoftwareVersion("v1"));
  for (std::size_t i = 0; i < 7; ++i) {
    deployment.Restart(i);
    deployment.RunFor(Milliseconds(3500));
  }
  for (std::size_t i = 0; i < 7; ++i)
    CHECK(deployment.SoleVersionAt(i) == SoftwareVersion("v1"));
  // Those that know need not ask.
  const int before = deployment.questions();
  deployment.RunFor(Seconds(5));
  CHECK(deployment.questions() == before);
}

// Guards against a rollout that is forgotten as instances restart.
TEST_CASE("no version is taken for the only one while streams may have two") {
  Deployment deployment(7);
  deployment.RunFor(LongestStream(deployment.config));
  deployment.List(RecordOf("e2", "v2"));
  for (std::size_t i = 0; i < 7; ++i) {
    deployment.Restart(i);
    deployment.RunFor(Milliseconds(3500));
    CHECK_FALSE(deployment.SoleVersionAt(i).has_value());
  }
  deployment.Unlist(EndpointId("e1"));
  for (std::size_t i = 0; i < 7; ++i) {
    deployment.Restart(i);
    deployment.RunFor(Milliseconds(3500));
    CHECK_FALSE(deployment.SoleVersionAt(i).has_value());
  }
  deployment.RunFor(LongestStream(deployment.config));
  CHECK(deployment.SoleVersionAt(3) == SoftwareVersion("v2"));
}

// Guards against a guess after all instances have lost their memory.
TEST_CASE("instances that restart together learn nothing from each other") {
  Deployment deployment(3);
  deployment.RunFor(LongestStream(deployment.config));
  for (std::size_t i = 0; i < 3; ++i)
    deployment.Restart(i);
  deployment.RunFor(Seconds(10));
  for (std::size_t i = 0; i < 3; ++i)
    CHECK_FALSE(deployment.SoleVersionAt(i).has_value());
}

TEST_CASE("services without resumable routes are not asked about") {
  Deployment deployment(3);
  deployment.config = ConfigOf(/*resumable=*/false);
  deployment.RunFor(Seconds(10));
  CHECK(deployment.questions() == 0);
}

}  // namespace
}  // namespace carobshift
