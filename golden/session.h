// Records a session with an entry as text, with ids and times replaced, and
// compares it with a file of this directory byte for byte.
//
//   Session session(entry_address);
//   session.Send("GET", "/v1/addresses", {});
//   CHECK(session.MatchesFile("addresses"));
//
// With CAROBSHIFT_UPDATE_GOLDEN set the file is written instead.

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

  // Sends a request and records it with its answer: status, Content-Type,
  // Retry-After, body or events. `note` says in the file what happens.
  HttpAnswer Send(const std::string& note,
                  const std::string& method,
                  const std::string& path,
                  const HttpSendOptions& options);

  // Records a line of another kind, such as an entry's log line.
  void Note(const std::string& line);

  // Text that differs from run to run, such as a key's prefix.
  void Replace(const std::string& text, const std::string& by);

  // False, after printing the recorded session, if it differs from the file.
  [[nodiscard]] bool MatchesFile(const std::string& name) const;

 private:
  [[nodiscard]] std::string Normalized() const;

  const NetAddress entry_;
  std::string text_;
  std::vector<std::pair<std::string, std::string>> replacements_;
};

}  // namespace carobshift

#endif  // GOLDEN_SESSION_H_
