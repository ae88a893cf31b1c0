#include "carobshift/config/declaration_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const char kGood[] = R"(format: 1
models:
  - name: team/review
    kv_bytes_per_token: 65536
pools:
  - {name: gpu, checks_fencing: true}
  - {name: desk, kind: plain}
services:
  - name: review
    pool: gpu
    model: team/review
    weights: "7"
    replicas: 4
    floor: 2
    depends_on: [booking]
    first_token_target_ms: 400
  - {name: booking, kind: plain, pool: desk, replicas: 2}
stores:
  - {id: store-1, link_bytes_per_second: 1000000}
)";

bool HasProblem(const DeclarationResult& result,
                const std::string& position,
                const std::string& part) {
  return std::ranges::any_of(result.problems, [&](const YamlProblem& problem) {
    const std::string text = problem.ToString();
    return text.rfind(position, 0) == 0 && text.find(part) != std::string::npos;
  });
}

}  // namespace

TEST_CASE("a good text becomes a declaration with its defaults") {
  const std::string account = "accounts:\n  - id: north\n    key_sha256: [" +
                              Sha256Hex("key") + "]\n    weight: 2.5\n";
  const DeclarationResult result = ParseDeclaration(kGood + account);
  INFO(result.ProblemText());
  REQUIRE(result.declaration);
  const ServiceSpec* review =
      result.declaration->FindService(ServiceName("review"));
  REQUIRE(review != nullptr);
  CHECK(review->first_token_target == Milliseconds(400));
  CHECK(review->progress_timeout == Milliseconds(5000));
  CHECK(review->weights == WeightVersion("7"));
  CHECK(result.declaration->FindPool(PoolName("gpu"))->checks_fencing);
  CHECK(result.declaration->accounts[0].weight == 2.5);
  CHECK_FALSE(result.declaration->allow_blind_writes);
}

// An operator makes several mistakes in a long text. If only the first were
// reported, each correction would need another attempt.
TEST_CASE(
    "all problems come at once, each with its place and what is allowed") {
  const DeclarationResult result = ParseDeclaration(R"(format: 2
modles: []
pools:
  - {name: gpu, kind: modell}
  - {name: gpu}
services:
  - name: a
    pool: none
    replicas: 1000001
    floor: 3
    model: lost
    weights: "1"
    depends_on: [b, c]
  - {name: b, pool: gpu, model: lost, weights: "1", depends_on: [a]}
  - {name: b c, kind: plain, pool: gpu, idempotent: maybe, weights: x}
stores:
  - {id: s}
accounts:
  - {id: x, key_sha256: [abc], weight: .inf}
  - {id: y, replicas: 1, replicas: 2}
)");
  INFO(result.ProblemText());
  CHECK_FALSE(result.declaration);
  CHECK(HasProblem(result, "line 1, column 9: format", "from 1 to 1, not 2"));
  CHECK(HasProblem(result, "line 2, column 1: modles",
                   "allowed: format, allow_blind_writes"));
  CHECK(HasProblem(result, "line 4, column 23: pools[0].kind",
                   "model, plain; not modell"));
  CHECK(HasProblem(result, "line 5, column 12: pools[1].name",
                   "already declared at pools[0]"));
  CHECK(HasProblem(result, "line 8, column 11: services[0].pool",
                   "no entry declares none"));
  CHECK(HasProblem(result, "line 9, column 15: services[0].replicas",
                   "from 0 to 100000"));
  CHECK(HasProblem(result, "line 10, column 12: services[0].floor",
                   "from 0 to replicas (1)"));
  CHECK(HasProblem(result, "line 13, column 21: services[0].depends_on[1]",
                   "declares c"));
  CHECK(HasProblem(result, "line 14, ", "cycle: a -> b -> a"));
  CHECK(HasProblem(result, "line 15, column 12: services[2].name",
                   "1 to 63 letters"));
  CHECK(HasProblem(result, "line 15, ", "must be true or false, not maybe"));
  CHECK(HasProblem(result, "line 15, ", "for services of kind model only"));
  CHECK(HasProblem(result, "line 15, ", "of the other kind"));
  CHECK(HasProblem(result, "line 17, column 5: stores[0].link_bytes_per_second",
                   "is missing"));
  CHECK(HasProblem(result, "line 19, column 26: accounts[0].key_sha256[0]",
                   "64 lower-case"));
  CHECK(
      HasProblem(result, "line 19, ", "a number from 0.01 to 1000, not .inf"));
  CHECK(HasProblem(result, "line 20, ", "this key stands twice"));
  CHECK(
      HasProblem(result, "line 20, ", "unknown key; allowed: id, key_sha256"));
}

TEST_CASE("a text that is no YAML mapping is refused with its place") {
  CHECK(HasProblem(ParseDeclaration("a: [1"), "", "not valid YAML"));
  CHECK(HasProblem(ParseDeclaration("- 1"),
                   "line 1, column 1: ", "must be a mapping"));
  CHECK(HasProblem(ParseDeclaration(""), "", "exactly one"));
  CHECK(HasProblem(ParseDeclaration("format: 1\n---\nformat: 1"), "", "not 2"));
  CHECK(HasProblem(ParseDeclaration(std::string(kMaxDeclarationBytes + 1, ' ')),
                   "", "at most 8388608"));
  const std::string deep(100'000, '[');
  CHECK_FALSE(ParseDeclaration(deep).declaration);
}

// Guards against one account acting as another: if a key is declared in two
// accounts, its calls would be attributed to whichever account is found first.
TEST_CASE("a key belongs to one account only") {
  const std::string digest = Sha256Hex("key");
  const DeclarationResult result = ParseDeclaration(
      "format: 1\naccounts:\n  - {id: a, key_sha256: [" + digest +
      "]}\n  - {id: b, key_sha256: [" + digest + "]}\n");
  CHECK(HasProblem(result, "line 4, column 26: accounts[1].key_sha256[0]",
                   "account a has"));
}

TEST_CASE("a hostile text yields a bounded list of problems") {
  std::string text = "format: 1\n";
  for (int i = 0; i < 1000; ++i)
    text += "x" + std::to_string(i) + ": 1\n";
  const DeclarationResult result = ParseDeclaration(text);
  CHECK(result.problems.size() == YamlProblems::kMaxProblems + 1);
  CHECK(result.problems.back().message.find("800 more") != std::string::npos);
}

}  // namespace carobshift
