// The head of an HTTP/1.1 request or reply, as a value.
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
  // Of a request.
  std::string method;
  std::string target;
  // Of a reply.
  int status = 0;
  std::string reason;
  // In the order in which they came; names as they were spelled.
  std::vector<HttpField> fields;

  // The first field of this name in any case, or null.
  [[nodiscard]] const std::string* Find(std::string_view name) const;
  [[nodiscard]] std::size_t Count(std::string_view name) const;
  // Replaces all fields of the name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
};

[[nodiscard]] bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Whether a comma-separated field value names `token`, in any case.
[[nodiscard]] bool ListsToken(std::string_view value, std::string_view token);

// True for fields that concern one connection only, by HTTP/1.1, or that
// `connection` (the value of Connection, may be empty) names.
[[nodiscard]] bool IsConnectionField(std::string_view name,
                                     std::string_view connection);

// With the empty line at the end.
[[nodiscard]] std::string SerializeRequestHead(const HttpHead& head);
[[nodiscard]] std::string SerializeReplyHead(const HttpHead& head);

[[nodiscard]] std::string_view ReasonOfStatus(int status);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_MESSAGE_H_
