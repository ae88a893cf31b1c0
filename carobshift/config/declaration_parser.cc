#include "carobshift/config/declaration_parser.h"

#include <algorithm>
#include <string>
#include <utility>

#include "carobshift/config/internal/declaration_checks.h"

namespace carobshift {
namespace {

constexpr std::int64_t kFormat = 1;
constexpr std::size_t kMaxServices = 1000;
constexpr std::int64_t kMaxReplicas = 100'000;
constexpr std::int64_t kMaxTokens = 16'777'216;
constexpr std::int64_t kMaxLinkBytesPerSecond = 1'000'000'000'000;
constexpr std::int64_t kMaxInFlight = 1'000'000;
constexpr Range<std::int64_t> kTimeoutRangeMs{10, 3'600'000};
constexpr Range<double> kWeightRange{0.01, 1000};
constexpr std::size_t kDigestDigits = 64;
// Additional characters in model names and versions of model registries, as in
// "team/model:3@sha".
constexpr std::string_view kModelNameChars = "/:@+";

template <typename Id>
void ReadId(YamlMap& map,
            const std::string& key,
            Id& out,
            Presence presence = Presence::kRequired,
            std::string_view extra_chars = "") {
  std::string text;
  map.ReadName(key, text, presence, extra_chars);
  out = Id(std::move(text));
}

template <typename Id>
void ReadIds(YamlMap& map,
             const std::string& key,
             std::vector<Id>& out,
             std::string_view extra_chars = "") {
  std::vector<std::string> texts;
  map.ReadNames(key, texts, extra_chars);
  for (std::string& text : texts)
    out.emplace_back(std::move(text));
}

void ReadKind(YamlMap& map, ServiceKind& out) {
  static constexpr ServiceKind kKinds[] = {ServiceKind::kModel,
                                           ServiceKind::kPlain};
  std::size_t choice = 0;
  map.ReadChoice("kind", choice, {"model", "plain"});
  out = kKinds[choice];
}

ModelSpec ReadModel(YamlMap& map, YamlProblems&) {
  ModelSpec model;
  ReadId(map, "name", model.name, Presence::kRequired, kModelNameChars);
  map.ReadInteger("kv_bytes_per_token", model.kv_bytes_per_token,
                  {1, 1'073'741'824});
  map.ReadInteger("max_context_tokens", model.max_context_tokens,
                  {1, kMaxTokens});
  return model;
}

PoolSpec ReadPool(YamlMap& map, YamlProblems&) {
  PoolSpec pool;
  ReadId(map, "name", pool.name);
  ReadKind(map, pool.kind);
  map.ReadBool("checks_fencing", pool.checks_fencing);
  return pool;
}

void ReadModelServiceFields(YamlMap& map, ServiceSpec& service) {
  ReadId(map, "model", service.model, Presence::kRequired, kModelNameChars);
  ReadId(map, "weights", service.weights, Presence::kRequired, kModelNameChars);
  ReadIds(map, "adapters", service.adapters, kModelNameChars);
  map.ReadDuration("first_token_target_ms", service.first_token_target,
                   kTimeoutRangeMs);
  map.ReadInteger("max_output_tokens", service.max_output_tokens,
                  {1, kMaxTokens});
  map.RejectKey("idempotent", "is for services of kind plain only");
}

void ReadPlainServiceFields(YamlMap& map, ServiceSpec& service) {
  map.ReadBool("idempotent", service.idempotent);
  for (const char* key : {"model", "weights", "adapters",
                          "first_token_target_ms", "max_output_tokens"})
    map.RejectKey(key, "is for services of kind model only");
}

ServiceSpec ReadService(YamlMap& map, YamlProblems&) {
  ServiceSpec service;
  ReadId(map, "name", service.name);
  ReadKind(map, service.kind);
  ReadId(map, "pool", service.pool);
  ReadIds(map, "depends_on", service.depends_on);
  map.ReadInteger("replicas", service.replicas, {0, kMaxReplicas});
  map.ReadInteger("floor", service.floor, {0, kMaxReplicas});
  map.ReadDuration("progress_timeout_ms", service.progress_timeout,
                   kTimeoutRangeMs);
  if (service.kind == ServiceKind::kModel)
    ReadModelServiceFields(map, service);
  else
    ReadPlainServiceFields(map, service);
  return service;
}

StoreSpec ReadStore(YamlMap& map, YamlProblems&) {
  StoreSpec store;
  ReadId(map, "id", store.id);
  map.ReadInteger("link_bytes_per_second", store.link_bytes_per_second,
                  {1, kMaxLinkBytesPerSecond}, Presence::kRequired);
  return store;
}

bool IsDigest(const std::string& text) {
  return text.size() == kDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void CheckDigests(const YamlMap& map,
                  const std::vector<std::string>& digests,
                  YamlProblems& problems) {
  const std::string path = map.PathOf("key_sha256");
  if (digests.empty())
    problems.AddAt(path, "must list at least one digest");
  for (std::size_t i = 0; i < digests.size(); ++i) {
    if (!IsDigest(digests[i]))
      problems.AddAt(path + "[" + std::to_string(i) + "]",
                     "must be a SHA-256 of 64 lower-case hexadecimal digits");
  }
}

AccountSpec ReadAccount(YamlMap& map, YamlProblems& problems) {
  AccountSpec account;
  ReadId(map, "id", account.id);
  map.ReadTexts("key_sha256", account.key_sha256);
  CheckDigests(map, account.key_sha256, problems);
  map.ReadNumber("weight", account.weight, kWeightRange);
  map.ReadInteger("max_in_flight", account.max_in_flight, {1, kMaxInFlight});
  ReadIds(map, "services", account.services);
  return account;
}

template <typename Spec>
void ReadSection(YamlMap& root,
                 const std::string& key,
                 std::vector<Spec>& out,
                 Spec (*read)(YamlMap&, YamlProblems&),
                 YamlProblems& problems) {
  for (YamlMap& map : root.ReadMaps(key)) {
    out.push_back(read(map, problems));
    map.RejectUnknownKeys();
  }
}

Declaration ReadDeclaration(YamlMap& root, YamlProblems& problems) {
  Declaration declaration;
  std::int64_t format = kFormat;
  root.ReadInteger("format", format, {kFormat, kFormat}, Presence::kRequired);
  root.ReadBool("allow_blind_writes", declaration.allow_blind_writes);
  ReadSection(root, "models", declaration.models, &ReadModel, problems);
  ReadSection(root, "pools", declaration.pools, &ReadPool, problems);
  ReadSection(root, "services", declaration.services, &ReadService, problems);
  ReadSection(root, "stores", declaration.stores, &ReadStore, problems);
  ReadSection(root, "accounts", declaration.accounts, &ReadAccount, problems);
  root.RejectUnknownKeys();
  return declaration;
}

}  // namespace

std::string DeclarationResult::ProblemText() const {
  std::string out;
  for (const YamlProblem& problem : problems)
    out += (out.empty() ? "" : "\n") + problem.ToString();
  return out;
}

DeclarationResult ParseDeclaration(std::string_view text) {
  YamlProblems problems;
  DeclarationResult result;
  const std::optional<YAML::Node> node =
      LoadYaml(text, kMaxDeclarationBytes, problems);
  if (node) {
    YamlMap root(*node, "", problems);
    Declaration declaration = ReadDeclaration(root, problems);
    if (declaration.services.size() > kMaxServices)
      problems.AddAt("services", "must hold at most 1000 services");
    else
      CheckReferences(declaration, problems);
    if (problems.empty())
      result.declaration = std::move(declaration);
  }
  result.problems = problems.Take();
  return result;
}

}  // namespace carobshift
