#include "carobshift/server/http/route_handler.h"

namespace carobshift {

void SendText(Poco::Net::HTTPServerResponse& response,
              int status,
              const std::string& content_type,
              const std::string& body) {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
  response.setContentType(content_type);
  response.sendBuffer(body.data(), body.size());
}

void SendJson(Poco::Net::HTTPServerResponse& response,
              int status,
              const nlohmann::json& body) {
  // Invalid UTF-8 in the input is replaced; by default the library throws.
  SendText(response, status, "application/json",
           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace carobshift
