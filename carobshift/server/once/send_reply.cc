#include "carobshift/server/once/send_reply.h"

#include <string>

#include "carobshift/server/http/route_handler.h"

namespace carobshift {

void SendReply(Poco::Net::HTTPServerResponse& response,
               const CallReply& reply) {
  if (reply.retry_after > Milliseconds(0)) {
    const auto seconds = std::chrono::ceil<Seconds>(reply.retry_after);
    response.set("Retry-After", std::to_string(seconds.count()));
  }
  SendText(response, reply.http_status, reply.content_type, reply.body);
}

}  // namespace carobshift
