// The head of an HTTP/1.1 request or reply: start line and header fields.
//
//   HttpHead head;
//   head.method = "GET";
//   head.target = "/report";
//   head.Set("Host", "10.0.0.1:8080");
//   std::string bytes = SerializeRequestHead(head);

#ifndef CAROBSHIFT_NET_HTTP_MESSAGE_H_
#define CAROBSHIFT_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobshift {

// One header field. The texts belong to someone else.
struct HttpField {
  std::string_view name;
  std::string_view value;
};

// Header fields in the order received, with names spelled as received. They are
// kept as one text, in the form in which they are sent: a head takes little
// more than its bytes, however short its lines are.
//
//   fields.push_back({"Host", "10.0.0.1:8080"});
//   for (const HttpField field : fields) ...
//
// Views of fields are valid until the next change. Thread-compatible.
class HttpFields {
 public:
  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = HttpField;
    using difference_type = std::ptrdiff_t;
    using pointer = const HttpField*;
    using reference = const HttpField&;

    Iterator() = default;
    explicit Iterator(std::string_view rest) : rest_(rest) { Parse(); }
    reference operator*() const { return field_; }
    pointer operator->() const { return &field_; }
    Iterator& operator++();
    Iterator operator++(int);
    bool operator==(const Iterator& other) const {
      return rest_.size() == other.rest_.size();
    }

   private:
    void Parse();

    // Begins with the line of field_.
    std::string_view rest_;
    HttpField field_;
  };

  HttpFields() = default;
  HttpFields(std::initializer_list<HttpField> fields);

  // Names must be tokens (RFC 9110, section 5.6.2). A line break within a value
  // becomes a space: it would begin another field.
  void push_back(const HttpField& field);

  // Append a field in pieces: its name, its value, its end. The pieces must be
  // those of valid fields. Between BeginField() and EndField(), no other
  // function may be called.
  void BeginField(std::string_view name) { text_.append(name); }
  void ContinueName(std::string_view piece) { text_.append(piece); }
  void BeginValue() { text_.append(": "); }
  void ContinueValue(std::string_view piece) { text_.append(piece); }
  void EndField() { text_.append("\r\n"); }

  [[nodiscard]] Iterator begin() const { return Iterator(text_); }
  [[nodiscard]] Iterator end() const { return {}; }
  [[nodiscard]] bool empty() const { return text_.empty(); }
  // Counts the fields.
  [[nodiscard]] std::size_t size() const;
  void clear() { text_.clear(); }
  // Removes all fields of this name (case-insensitive).
  void Remove(std::string_view name);

  // The fields as they are sent, each with its line break.
  [[nodiscard]] std::string_view text() const { return text_; }
  // Memory that the fields take, in bytes.
  [[nodiscard]] std::size_t capacity() const { return text_.capacity(); }

 private:
  std::string text_;
};

struct HttpHead {
  // For requests.
  std::string method;
  std::string target;
  // For replies.
  int status = 0;
  std::string reason;
  HttpFields fields;

  // Returns the value of the first field with this name (case-insensitive).
  // Valid until the next change of the fields.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;
  [[nodiscard]] std::size_t Count(std::string_view name) const;
  // Replaces all fields of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name) { fields.Remove(name); }
  // Memory that the head takes beside itself, in bytes.
  [[nodiscard]] std::size_t capacity() const {
    return method.capacity() + target.capacity() + reason.capacity() +
           fields.capacity();
  }
};

[[nodiscard]] bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Tells which fields of a head are hop-by-hop: by HTTP/1.1, or because a
// Connection field names them. The head must outlive this object, unchanged.
//
//   const ConnectionFields connection_fields(head);
//   if (connection_fields.Contains(field.name)) continue;
class ConnectionFields {
 public:
  ConnectionFields() = default;
  explicit ConnectionFields(const HttpHead& head);

  [[nodiscard]] bool Contains(std::string_view name) const;

 private:
  // In the order of their names, ignoring case: a head of many lines may name
  // as many fields.
  std::vector<std::string_view> named_;
};

// Return the head including the final empty line.
[[nodiscard]] std::string SerializeRequestHead(const HttpHead& head);
[[nodiscard]] std::string SerializeReplyHead(const HttpHead& head);

[[nodiscard]] std::string_view ReasonOfStatus(int status);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_MESSAGE_H_
