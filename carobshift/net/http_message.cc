#include "carobshift/net/http_message.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace carobshift {
namespace {

// Hop-by-hop fields (RFC 9110, section 7.6.1), and the fields for message
// framing, which is specific to a connection.
constexpr std::string_view kConnection = "Connection";
constexpr std::array<std::string_view, 9> kConnectionFields = {
    kConnection, "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",   "Upgrade",    "Expect",           "Content-Length"};

constexpr std::string_view kSeparator = ": ";
constexpr std::string_view kLineBreak = "\r\n";

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

void AppendFields(const HttpFields& fields, std::string& out) {
  out += fields.text();
  out += kLineBreak;
}

bool LessIgnoringCase(std::string_view a, std::string_view b) {
  return std::lexicographical_compare(
      a.begin(), a.end(), b.begin(), b.end(),
      [](char x, char y) { return LowerCase(x) < LowerCase(y); });
}

bool IsLineBreak(char c) {
  return c == '\r' || c == '\n';
}

}  // namespace

HttpFields::HttpFields(std::initializer_list<HttpField> fields) {
  for (const HttpField& field : fields)
    push_back(field);
}

void HttpFields::push_back(const HttpField& field) {
  BeginField(field.name);
  BeginValue();
  const auto value = static_cast<std::ptrdiff_t>(text_.size());
  ContinueValue(field.value);
  std::replace_if(text_.begin() + value, text_.end(), IsLineBreak, ' ');
  EndField();
}

std::size_t HttpFields::size() const {
  return static_cast<std::size_t>(std::distance(begin(), end()));
}

void HttpFields::Remove(std::string_view name) {
  const bool any = std::any_of(begin(), end(), [name](const HttpField& field) {
    return EqualsIgnoringCase(field.name, name);
  });
  if (!any)
    return;
  HttpFields kept;
  for (const HttpField& field : *this) {
    if (!EqualsIgnoringCase(field.name, name))
      kept.push_back(field);
  }
  *this = std::move(kept);
}

HttpFields::Iterator& HttpFields::Iterator::operator++() {
  rest_.remove_prefix(field_.name.size() + kSeparator.size() +
                      field_.value.size() + kLineBreak.size());
  Parse();
  return *this;
}

HttpFields::Iterator HttpFields::Iterator::operator++(int) {
  const Iterator before = *this;
  ++*this;
  return before;
}

void HttpFields::Iterator::Parse() {
  if (rest_.empty())
    return;
  field_.name = rest_.substr(0, rest_.find(kSeparator.front()));
  const std::string_view value =
      rest_.substr(field_.name.size() + kSeparator.size());
  field_.value = value.substr(0, value.find(kLineBreak.front()));
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return LowerCase(x) == LowerCase(y);
         });
}

ConnectionFields::ConnectionFields(const HttpHead& head) {
  for (const HttpField& field : head.fields) {
    if (!EqualsIgnoringCase(field.name, kConnection))
      continue;
    std::string_view names = field.value;
    while (!names.empty()) {
      const std::size_t comma = std::min(names.find(','), names.size());
      named_.push_back(Trim(names.substr(0, comma)));
      names.remove_prefix(std::min(comma + 1, names.size()));
    }
  }
  std::sort(named_.begin(), named_.end(), LessIgnoringCase);
}

bool ConnectionFields::Contains(std::string_view name) const {
  const bool standard =
      std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                  [name](std::string_view known) {
                    return EqualsIgnoringCase(name, known);
                  });
  return standard || std::binary_search(named_.begin(), named_.end(), name,
                                        LessIgnoringCase);
}

std::optional<std::string_view> HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.name, name))
      return field.value;
  }
  return std::nullopt;
}

std::size_t HttpHead::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields.begin(), fields.end(), [name](const auto& field) {
        return EqualsIgnoringCase(field.name, name);
      }));
}

void HttpHead::Set(std::string_view name, std::string_view value) {
  // Both may be views of the fields.
  const std::string new_name(name);
  const std::string new_value(value);
  fields.Remove(new_name);
  fields.push_back({new_name, new_value});
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
