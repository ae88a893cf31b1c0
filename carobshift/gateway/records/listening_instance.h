// For tests: an instance that follows both streams, queries readers and answers
// the queries of others. It has its own logs, so that it alone can be
// disconnected from them.
//
//   ListeningInstance instance(loop, "127.0.0.1", self, live);
//   instance.Declare("config=1");
//   instance.Start();
//   instance.listener.OnTick();

#ifndef CAROBSHIFT_GATEWAY_RECORDS_LISTENING_INSTANCE_H_
#define CAROBSHIFT_GATEWAY_RECORDS_LISTENING_INSTANCE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/gateway/records/fake_log.h"
#include "carobshift/gateway/records/record_listener.h"
#include "carobshift/gateway/records/recording_follower_sink.h"

namespace carobshift {

inline constexpr char kDeploymentSecret[] = "secret";

struct ListeningInstance {
  ListeningInstance(EventLoop& loop,
                    std::string host,
                    MemberInfo self,
                    std::function<std::vector<MemberInfo>()> live)
      : operator_log(loop),
        endpoint_log(loop),
        client(loop, {}),
        operators(loop,
                  client,
                  operator_log.address(),
                  dialect,
                  dialect.OperatorStream(),
                  QuickFollowerOptions(),
                  operator_sink),
        endpoints(loop,
                  client,
                  endpoint_log.address(),
                  dialect,
                  dialect.EndpointStream(),
                  QuickFollowerOptions(),
                  endpoint_sink),
        listener(loop,
                 client,
                 {std::move(self), std::move(live), kDeploymentSecret},
                 operators,
                 endpoints),
        server(
            loop,
            [this, &loop](HttpServerConnection& connection,
                          const HttpServerRequest& request) {
              ++queries;
              if (hangs)
                return;
              const auto answer = listener.Answer(request.head);
              REQUIRE(answer);
              answered_bytes += answer->body.size();
              HttpHead head;
              head.status = answer->status;
              if (pace)
                SendSlowly(loop, connection, std::move(head), answer->body,
                           *pace);
              else
                connection.SendCompleteReply(std::move(head), answer->body);
            },
            {},
            std::move(host)) {}
  ~ListeningInstance() {
    operators.Stop();
    endpoints.Stop();
  }

  void Start() {
    operators.Start();
    endpoints.Start();
  }
  void SetLogMode(FakeLogMode mode) {
    operator_log.SetMode(mode);
    endpoint_log.SetMode(mode);
  }
  void Declare(const std::string& record) {
    operator_log.Append(dialect.OperatorStream(), record);
  }
  void List(const std::string& record) {
    endpoint_log.Append(dialect.EndpointStream(), record);
  }
  [[nodiscard]] bool CaughtUp() const {
    return operators.caught_up() && endpoints.caught_up();
  }

  FakeLog operator_log;
  FakeLog endpoint_log;
  FakeLogDialect dialect;
  HttpClient client;
  RecordingFollowerSink operator_sink;
  RecordingFollowerSink endpoint_sink;
  KeyedFollower operators;
  KeyedFollower endpoints;
  RecordListener listener;
  int queries = 0;
  std::size_t answered_bytes = 0;
  std::optional<ReplyPace> pace;
  bool hangs = false;
  LoopbackServer server;
};

inline MemberInfo MemberNumber(int number) {
  MemberInfo info;
  info.id = EntryId("entry-" + std::to_string(number));
  info.zone = ZoneName("zone");
  return info;
}

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_LISTENING_INSTANCE_H_
