#include "carobshift/config/declaration_diff.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <type_traits>

namespace carobshift {
namespace {

using Lines = std::vector<std::string>;

std::string Format(bool value) {
  return value ? "true" : "false";
}
std::string Format(Milliseconds value) {
  return std::to_string(value.count()) + " ms";
}
std::string Format(ServiceKind kind) {
  return kind == ServiceKind::kModel ? "model" : "plain";
}
template <typename Number>
requires std::is_arithmetic_v<Number> std::string Format(Number value) {
  return std::to_string(value);
}
template <typename Tag>
std::string Format(const StrongType<Tag, std::string>& id) {
  return id.value().empty() ? "none" : id.value();
}
template <typename Id>
std::string Format(const std::vector<Id>& ids) {
  std::string out;
  for (const Id& id : ids)
    out += (out.empty() ? "" : ", ") + Format(id);
  return out.empty() ? "none" : out;
}

// Appends a line to `lines` if the field `member` differs.
template <typename Spec, typename Value>
void CompareField(const Spec& before,
                  const Spec& after,
                  Value Spec::*member,
                  const std::string& subject,
                  const std::string& what,
                  Lines& lines) {
  if (before.*member != after.*member)
    lines.push_back(subject + ": " + what + " from " + Format(before.*member) +
                    " to " + Format(after.*member));
}

// Compares two lists by id and calls a function for each removed item, each
// added item and each pair of items with the same id.
template <typename Spec,
          typename Id,
          typename Removed,
          typename Added,
          typename Kept>
void CompareLists(const std::vector<Spec>& before,
                  const std::vector<Spec>& after,
                  Id Spec::*id,
                  const Removed& on_removed,
                  const Added& on_added,
                  const Kept& on_kept) {
  for (const Spec& old : before) {
    if (std::ranges::find(after, old.*id, id) == after.end())
      on_removed(old);
  }
  for (const Spec& spec : after) {
    const auto old = std::ranges::find(before, spec.*id, id);
    if (old == before.end())
      on_added(spec);
    else
      on_kept(*old, spec);
  }
}

void DescribeReplicas(const ServiceSpec& before,
                      const ServiceSpec& after,
                      const std::string& subject,
                      Lines& lines) {
  const int change = after.replicas - before.replicas;
  if (change == 0)
    return;
  const std::string effect =
      change > 0
          ? std::to_string(change) + " more endpoints are started"
          : std::to_string(-change) + " endpoints are drained and then freed";
  lines.push_back(subject + ": replicas from " +
                  std::to_string(before.replicas) + " to " +
                  std::to_string(after.replicas) + "; " + effect);
}

void DescribeWeights(const ServiceSpec& before,
                     const ServiceSpec& after,
                     const std::string& subject,
                     Lines& lines) {
  const bool other_model = before.model != after.model;
  if (!other_model && before.weights == after.weights)
    return;
  lines.push_back(
      subject + ": swap of weights from " + Format(before.model) + " " +
      Format(before.weights) + " to " + Format(after.model) + " " +
      Format(after.weights) + " on " + std::to_string(after.replicas) +
      " replicas, at most two at once and never fewer than " +
      std::to_string(after.floor) +
      " ready; cached blocks of the old weights are not used any more");
}

void DescribeService(const ServiceSpec& before,
                     const ServiceSpec& after,
                     Lines& lines) {
  const std::string subject = "service " + after.name.value();
  CompareField(before, after, &ServiceSpec::kind, subject, "kind", lines);
  CompareField(before, after, &ServiceSpec::pool, subject, "pool", lines);
  DescribeWeights(before, after, subject, lines);
  DescribeReplicas(before, after, subject, lines);
  CompareField(before, after, &ServiceSpec::floor, subject, "floor", lines);
  CompareField(before, after, &ServiceSpec::adapters, subject, "adapters",
               lines);
  CompareField(before, after, &ServiceSpec::depends_on, subject, "dependencies",
               lines);
  CompareField(before, after, &ServiceSpec::first_token_target, subject,
               "target for the first token", lines);
  CompareField(before, after, &ServiceSpec::max_output_tokens, subject,
               "longest answer in tokens", lines);
  CompareField(before, after, &ServiceSpec::progress_timeout, subject,
               "progress timeout", lines);
  if (before.idempotent != after.idempotent)
    lines.push_back(subject + (after.idempotent
                                   ? ": calls may now be sent again after an "
                                     "unknown outcome"
                                   : ": calls run at most once from now on"));
}

void DescribeAccount(const AccountSpec& before,
                     const AccountSpec& after,
                     Lines& lines) {
  const std::string subject = "account " + after.id.value();
  CompareField(before, after, &AccountSpec::weight, subject, "weight", lines);
  CompareField(before, after, &AccountSpec::max_in_flight, subject,
               "requests in progress at one entry", lines);
  CompareField(before, after, &AccountSpec::services, subject,
               "allowed services", lines);
  const auto count_missing = [](const auto& from, const auto& in) {
    return std::ranges::count_if(from, [&](const std::string& digest) {
      return std::ranges::find(in, digest) == in.end();
    });
  };
  const auto removed = count_missing(before.key_sha256, after.key_sha256);
  const auto added = count_missing(after.key_sha256, before.key_sha256);
  if (removed > 0)
    lines.push_back(subject + ": " + std::to_string(removed) +
                    " keys removed; calls with them are refused");
  if (added > 0)
    lines.push_back(subject + ": " + std::to_string(added) + " keys added");
}

void DescribeServices(const Declaration& before,
                      const Declaration& after,
                      Lines& lines) {
  CompareLists(
      before.services, after.services, &ServiceSpec::name,
      [&](const ServiceSpec& removed) {
        lines.push_back("service " + removed.name.value() +
                        " removed: calls are refused and its " +
                        std::to_string(removed.replicas) +
                        " endpoints are drained and then freed");
      },
      [&](const ServiceSpec& added) {
        lines.push_back("service " + added.name.value() +
                        " added: " + std::to_string(added.replicas) +
                        " endpoints of pool " + Format(added.pool) +
                        " are started, after " + Format(added.depends_on));
      },
      [&](const ServiceSpec& old, const ServiceSpec& now) {
        DescribeService(old, now, lines);
      });
}

void DescribeAccounts(const Declaration& before,
                      const Declaration& after,
                      Lines& lines) {
  CompareLists(
      before.accounts, after.accounts, &AccountSpec::id,
      [&](const AccountSpec& removed) {
        lines.push_back("account " + removed.id.value() +
                        " removed: its keys are refused");
      },
      [&](const AccountSpec& added) {
        lines.push_back("account " + added.id.value() + " added with " +
                        std::to_string(added.key_sha256.size()) + " keys");
      },
      [&](const AccountSpec& old, const AccountSpec& now) {
        DescribeAccount(old, now, lines);
      });
}

// Describes a list whose items have no further effect when added or removed.
template <typename Spec, typename Id, typename Kept>
void DescribeList(const std::vector<Spec>& before,
                  const std::vector<Spec>& after,
                  Id Spec::*id,
                  const std::string& noun,
                  Lines& lines,
                  const Kept& on_kept) {
  CompareLists(
      before, after, id,
      [&](const Spec& removed) {
        lines.push_back(noun + " " + (removed.*id).value() + " removed");
      },
      [&](const Spec& added) {
        lines.push_back(noun + " " + (added.*id).value() + " added");
      },
      [&](const Spec& old, const Spec& now) {
        on_kept(old, now, noun + " " + (now.*id).value());
      });
}

void DescribeModel(const ModelSpec& old,
                   const ModelSpec& now,
                   const std::string& subject,
                   Lines& lines) {
  CompareField(old, now, &ModelSpec::kv_bytes_per_token, subject,
               "KV cache bytes per token", lines);
  CompareField(old, now, &ModelSpec::max_context_tokens, subject,
               "longest context in tokens", lines);
}

void DescribePool(const PoolSpec& old,
                  const PoolSpec& now,
                  const std::string& subject,
                  Lines& lines) {
  CompareField(old, now, &PoolSpec::kind, subject, "kind", lines);
  CompareField(old, now, &PoolSpec::checks_fencing, subject, "checks_fencing",
               lines);
}

void DescribeStore(const StoreSpec& old,
                   const StoreSpec& now,
                   const std::string& subject,
                   Lines& lines) {
  CompareField(old, now, &StoreSpec::link_bytes_per_second, subject,
               "link budget in bytes a second", lines);
}

}  // namespace

std::vector<std::string> DescribeChanges(const Declaration& before,
                                         const Declaration& after) {
  Lines lines;
  if (before.allow_blind_writes != after.allow_blind_writes)
    lines.push_back(after.allow_blind_writes
                        ? "edits that name no base version are accepted"
                        : "edits that name no base version are refused");
  DescribeServices(before, after, lines);
  DescribeList(before.models, after.models, &ModelSpec::name, "model", lines,
               [&](const auto& old, const auto& now, const auto& subject) {
                 DescribeModel(old, now, subject, lines);
               });
  DescribeList(before.pools, after.pools, &PoolSpec::name, "pool", lines,
               [&](const auto& old, const auto& now, const auto& subject) {
                 DescribePool(old, now, subject, lines);
               });
  DescribeList(before.stores, after.stores, &StoreSpec::id, "store", lines,
               [&](const auto& old, const auto& now, const auto& subject) {
                 DescribeStore(old, now, subject, lines);
               });
  DescribeAccounts(before, after, lines);
  return lines;
}

}  // namespace carobshift
