#include "carobshift/gateway/handoff/handoff_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::string_view kFrom = "Carobshift-Handoff-From";
constexpr std::string_view kTo = "Carobshift-Handoff-To";
constexpr std::string_view kIncarnation = "Carobshift-Handoff-Incarnation";
constexpr std::string_view kCode = "Carobshift-Handoff-Code";
constexpr std::array kSealFields = {kFrom, kTo, kIncarnation, kCode};

constexpr std::array kStates = {
    std::pair{HandoffState::kAnswer, std::string_view("answer")},
    std::pair{HandoffState::kNotRun, std::string_view("not_run")},
    std::pair{HandoffState::kOutcomeUnknown,
              std::string_view("outcome_unknown")}};

// Returns the code over all of `head` except the code itself. Names and values
// contain no line breaks.
std::string CodeOf(const HttpHead& head,
                   std::string_view body,
                   const std::string& secret) {
  std::string text = "carobshift handoff 1\n";
  const auto add = [&text](std::string_view line) {
    text += line;
    text += '\n';
  };
  add(head.method);
  add(head.target);
  for (const HttpField& field : head.fields) {
    if (EqualsIgnoringCase(field.name, kCode))
      continue;
    add(field.name);
    add(field.value);
  }
  add("");
  add(Sha256Hex(body));
  return HexEncode(HmacSha256(secret, text));
}

void RemoveSeal(HttpHead& head) {
  for (const std::string_view name : kSealFields)
    head.Remove(name);
}

HandoffRejection Verify(const HttpHead& head,
                        std::string_view body,
                        const EntryId& self,
                        Incarnation incarnation,
                        const std::string& secret) {
  for (const std::string_view name : kSealFields) {
    const std::size_t count = head.Count(name);
    if (count == 0)
      return HandoffRejection::kNotSealed;
    if (count > 1)
      return HandoffRejection::kSealedTwice;
  }
  if (!ConstantTimeEqual(*head.Find(kCode), CodeOf(head, body, secret)))
    return HandoffRejection::kBadCode;
  if (*head.Find(kTo) != self.value() ||
      *head.Find(kIncarnation) != std::to_string(incarnation.value()))
    return HandoffRejection::kOtherInstance;
  return HandoffRejection::kNone;
}

}  // namespace

std::string_view HandoffRejectionName(HandoffRejection rejection) {
  switch (rejection) {
    case HandoffRejection::kNone:
      return "none";
    case HandoffRejection::kNotSealed:
      return "not_sealed";
    case HandoffRejection::kSealedTwice:
      return "sealed_twice";
    case HandoffRejection::kOtherInstance:
      return "other_instance";
    case HandoffRejection::kBadCode:
      return "bad_code";
  }
  return "unknown";
}

void SealHandoff(const HandoffParties& parties,
                 std::string_view body,
                 const std::string& secret,
                 HttpHead& head) {
  RemoveSeal(head);
  head.Set(kFrom, parties.from.value());
  head.Set(kTo, parties.to.value());
  head.Set(kIncarnation, std::to_string(parties.to_incarnation.value()));
  head.Set(kCode, CodeOf(head, body, secret));
}

OpenedHandoff OpenHandoff(std::string_view body,
                          const EntryId& self,
                          Incarnation incarnation,
                          const std::string& secret,
                          HttpHead& head) {
  OpenedHandoff opened;
  opened.rejection = Verify(head, body, self, incarnation, secret);
  if (opened.rejection == HandoffRejection::kNone)
    opened.from = EntryId(std::string(*head.Find(kFrom)));
  RemoveSeal(head);
  return opened;
}

void SetStreamBeginning(const std::optional<StreamBeginning>& beginning,
                        HttpHead& head) {
  head.Remove(kStreamServiceField);
  head.Remove(kStreamSoftwareField);
  if (!beginning)
    return;
  head.Set(kStreamServiceField, beginning->service.value());
  head.Set(kStreamSoftwareField, beginning->software.value());
}

std::optional<StreamBeginning> TakeStreamBeginning(HttpHead& head) {
  const auto service = head.Find(kStreamServiceField);
  const auto software = head.Find(kStreamSoftwareField);
  std::optional<StreamBeginning> beginning;
  if (service && software) {
    beginning = {ServiceName(std::string(*service)),
                 SoftwareVersion(std::string(*software))};
  }
  head.Remove(kStreamServiceField);
  head.Remove(kStreamSoftwareField);
  return beginning;
}

void SetHandoffState(HandoffState state, HttpHead& head) {
  const auto* const found =
      std::find_if(kStates.begin(), kStates.end(),
                   [state](const auto& one) { return one.first == state; });
  head.Set(kHandoffStateField, found->second);
}

std::optional<HandoffState> HandoffStateOf(const HttpHead& head) {
  const auto text = head.Find(kHandoffStateField);
  if (!text)
    return std::nullopt;
  for (const auto& [state, name] : kStates) {
    if (*text == name)
      return state;
  }
  return std::nullopt;
}

}  // namespace carobshift
