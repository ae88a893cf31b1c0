// Sends a reply of KeyedCalls to the caller.
//
//   SendReply(exchange.response, keyed.Run(call, deadline, {}));

#ifndef CAROBSHIFT_SERVER_ONCE_SEND_REPLY_H_
#define CAROBSHIFT_SERVER_ONCE_SEND_REPLY_H_

#include <Poco/Net/HTTPServerResponse.h>

#include "carobshift/peer/peer_messages.h"

namespace carobshift {

void SendReply(Poco::Net::HTTPServerResponse& response, const CallReply& reply);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_SEND_REPLY_H_
