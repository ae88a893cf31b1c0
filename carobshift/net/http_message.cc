#include "carobshift/net/http_message.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>

namespace carobshift {
namespace {

// Hop-by-hop fields (RFC 9110, section 7.6.1), and the fields for message
// framing, which is specific to a connection.
constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

void AppendFields(const std::vector<HttpField>& fields, std::string& out) {
  for (const HttpField& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  out += "\r\n";
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return LowerCase(x) == LowerCase(y);
         });
}

bool ListsToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    if (EqualsIgnoringCase(Trim(value.substr(0, comma)), token))
      return true;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

bool IsConnectionField(std::string_view name, std::string_view connection) {
  const bool standard =
      std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                  [name](std::string_view known) {
                    return EqualsIgnoringCase(name, known);
                  });
  return standard || (!connection.empty() && ListsToken(connection, name));
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.name, name))
      return &field.value;
  }
  return nullptr;
}

std::size_t HttpHead::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields.begin(), fields.end(), [name](const auto& field) {
        return EqualsIgnoringCase(field.name, name);
      }));
}

void HttpHead::Set(std::string_view name, std::string_view value) {
  Remove(name);
  fields.push_back({std::string(name), std::string(value)});
}

void HttpHead::Remove(std::string_view name) {
  std::erase_if(fields, [name](const HttpField& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

std::string SerializeRequestHead(const HttpHead& head) {
  std::string out;
  out.reserve(512);
  out += head.method;
  out += ' ';
  out += head.target;
  out += " HTTP/1.1\r\n";
  AppendFields(head.fields, out);
  return out;
}

std::string SerializeReplyHead(const HttpHead& head) {
  std::string out;
  out.reserve(512);
  out += "HTTP/1.1 ";
  out += std::to_string(head.status);
  out += ' ';
  out += head.reason.empty() ? ReasonOfStatus(head.status)
                             : std::string_view(head.reason);
  out += "\r\n";
  AppendFields(head.fields, out);
  return out;
}

std::string_view ReasonOfStatus(int status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

}  // namespace carobshift
