#include "carobshift/gateway/streams/stream_beginning.h"

#include <string>

#include "carobshift/base/digest.h"

namespace carobshift {

StreamKey StreamKeyOf(const std::optional<AccountId>& account,
                      const RequestId& request) {
  // The length keeps an account's name apart from the id that follows it.
  std::string text;
  if (account)
    text = std::to_string(account->value().size()) + ':' + account->value();
  text += '\n';
  text += request.value();
  return StreamKey(FastHash(text));
}

void StreamEvidence::Merge(const StreamBeginning& beginning) {
  if (stated_ && *stated_ != beginning)
    contradictory_ = true;
  else
    stated_ = beginning;
}

void StreamEvidence::Merge(const StreamEvidence& other) {
  contradictory_ = contradictory_ || other.contradictory_;
  if (other.stated_)
    Merge(*other.stated_);
}

StreamEvidence StreamEvidence::Contradictory() {
  StreamEvidence evidence;
  evidence.contradictory_ = true;
  return evidence;
}

}  // namespace carobshift
