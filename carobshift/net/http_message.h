// The head of an HTTP/1.1 request or reply: start line and header fields.
//
//   HttpHead head;
//   head.method = "GET";
//   head.target = "/report";
//   head.Set("Host", "10.0.0.1:8080");
//   std::string bytes = SerializeRequestHead(head);

#ifndef CAROBSHIFT_NET_HTTP_MESSAGE_H_
#define CAROBSHIFT_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace carobshift {

struct HttpField {
  std::string name;
  std::string value;
};

struct HttpHead {
  // For requests.
  std::string method;
  std::string target;
  // For replies.
  int status = 0;
  std::string reason;
  // In the order received, with names spelled as received.
  std::vector<HttpField> fields;

  // Returns the value of the first field with this name (case-insensitive), or
  // null.
  [[nodiscard]] const std::string* Find(std::string_view name) const;
  [[nodiscard]] std::size_t Count(std::string_view name) const;
  // Replaces all fields of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
};

[[nodiscard]] bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns whether a comma-separated field value contains `token`
// (case-insensitive).
[[nodiscard]] bool ListsToken(std::string_view value, std::string_view token);

// Returns whether a field is hop-by-hop: either by HTTP/1.1, or because
// `connection`, the value of the Connection field (may be empty), names it.
[[nodiscard]] bool IsConnectionField(std::string_view name,
                                     std::string_view connection);

// Return the head including the final empty line.
[[nodiscard]] std::string SerializeRequestHead(const HttpHead& head);
[[nodiscard]] std::string SerializeReplyHead(const HttpHead& head);

[[nodiscard]] std::string_view ReasonOfStatus(int status);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_MESSAGE_H_
