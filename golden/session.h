// Records a sequence of HTTP exchanges with an entry as text, replaces ids and
// times by fixed names, and compares the result byte for byte with a .golden
// file in this directory.
//
//   Session session(entry_address);
//   session.Send("fetch the addresses", "GET", "/v1/addresses", {});
//   CHECK(session.MatchesFile("addresses"));
//
// If CAROBSHIFT_UPDATE_GOLDEN is set, MatchesFile() writes the file instead.

#ifndef GOLDEN_SESSION_H_
#define GOLDEN_SESSION_H_

#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/net_address.h"
#include "testing/http_client.h"

namespace carobshift {

// Not thread-safe.
class Session {
 public:
  explicit Session(NetAddress entry) : entry_(std::move(entry)) {}

  // Sends a request and records it with its response: status, Content-Type,
  // Retry-After, and the body or the events. `description` becomes a comment
  // line in the golden file.
  HttpAnswer Send(const std::string& description,
                  const std::string& method,
                  const std::string& path,
                  const HttpSendOptions& options);

  // Records a line that is not part of an HTTP exchange, such as a log line of
  // an entry.
  void RecordLine(const std::string& line);

  // Replaces `text`, which differs between runs (such as a key prefix), by
  // `replacement` in the whole recording.
  void AddReplacement(const std::string& text, const std::string& replacement);

  // Returns whether the recording equals the file. Prints the recording to
  // standard error if it does not.
  [[nodiscard]] bool MatchesFile(const std::string& name) const;

 private:
  [[nodiscard]] std::string Normalized() const;

  const NetAddress entry_;
  std::string transcript_;
  std::vector<std::pair<std::string, std::string>> replacements_;
};

}  // namespace carobshift

#endif  // GOLDEN_SESSION_H_
