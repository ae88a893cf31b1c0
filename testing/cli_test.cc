// The command line against a running deployment. Operators and scripts rely on
// its exit codes and its output.

#include <sys/wait.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>

#include "testing/cluster.h"

namespace carobshift {
namespace {

struct CliResult {
  int exit = -1;
  std::string output;
};

class Cli {
 public:
  explicit Cli(Cluster& cluster) : cluster_(cluster) {
    Write("key", kAccountKey);
  }

  std::string Write(const std::string& name, const std::string& text) {
    const std::string path = directory_.path() + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  // Runs the command line. The output holds standard output and standard error
  // together.
  CliResult Run(const std::string& arguments) {
    const std::string command =
        BinaryPath("carobshift") + " " + arguments + " --log " +
        cluster_.log().address().ToString() + " --instance-list " +
        cluster_.instance_list().address().ToString() + " --entry " +
        cluster_.entry(0).address().ToString() + " --secret-file " +
        cluster_.secret_file() + " --key-file " + directory_.path() +
        "/key 2>&1";
    CliResult result;
    FILE* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buffer;
    while (fgets(buffer.data(), buffer.size(), pipe) != nullptr)
      result.output += buffer.data();
    result.exit = WEXITSTATUS(pclose(pipe));
    return result;
  }

 private:
  Cluster& cluster_;
  TemporaryDirectory directory_;
};

bool Contains(const CliResult& result, const std::string& text) {
  return result.output.find(text) != std::string::npos;
}

}  // namespace

// Guards against a lost update: two operators edit the same version. The slower
// one must learn that it lost and to which edit, or it assumes that its own
// edit is in force.
TEST_CASE("publish waits until in force, and a lost race has its own exit") {
  Cluster cluster({.entries = 2, .engines = 1});
  Cli cli(cluster);
  const std::string text = cluster.DeclarationText(kFirstVersion);
  const std::string file = cli.Write("edit.yaml", text + "# edited\n");

  const CliResult first = cli.Run("config publish " + file + " --base 0");
  INFO(first.output);
  CHECK(first.exit == 0);
  CHECK(Contains(first, "in force on 2 entries after"));

  const CliResult late = cli.Run("config publish " + file + " --base 0");
  INFO(late.output);
  CHECK(late.exit == 4);
  CHECK(Contains(late, "lost the race to edit edit-"));
  CHECK(Contains(cli.Run("config history"), "lost_race"));

  const std::string bad = cli.Write("bad.yaml", "format: 1\nservises: []\n");
  const CliResult refused = cli.Run("config publish " + bad);
  INFO(refused.output);
  CHECK(refused.exit == 3);
  CHECK(Contains(refused, "line 2, column 1"));
}

TEST_CASE("callers' and operators' subcommands work on a live entry") {
  Cluster cluster({.entries = 1, .engines = 1});
  Cli cli(cluster);
  const CliResult answer =
      cli.Run("complete 'who pairs' --service assistant --json");
  INFO(answer.output);
  REQUIRE(answer.exit == 0);
  const auto id =
      nlohmann::json::parse(answer.output).at("id").get<std::string>();

  const CliResult explained = cli.Run("explain " + id);
  INFO(explained.output);
  CHECK(explained.exit == 0);
  CHECK(Contains(explained, "dispatched"));
  CHECK(Contains(explained, "least_expected_time"));

  CHECK(cli.Run("call '{\"slot\":1}' --service tee-desk").exit == 0);
  CHECK(cli.Run("complete hello --service nowhere").exit == 6);
  CHECK(cli.Run("addresses").exit == 0);
  CHECK(Contains(cli.Run("state"), "config.version"));
  CHECK(Contains(cli.Run("top --count 1"), "engine-0"));
  CHECK(cli.Run("nonsense").exit == 2);
}

}  // namespace carobshift
