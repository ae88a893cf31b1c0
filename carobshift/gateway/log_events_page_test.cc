#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace carobshift {
namespace {

using Events = std::map<std::string, std::set<std::string>>;

std::string TextOf(const std::filesystem::path& path) {
  std::ifstream in(path);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// What `pattern` captures wherever it occurs.
std::set<std::string> Captures(const std::string& text,
                               const std::string& pattern) {
  const std::regex regex(pattern);
  std::set<std::string> captured;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it)
    captured.insert((*it)[1]);
  return captured;
}

// The events that the gateway's sources log, each with the fields of its
// calls. A call that takes its fields from a variable has none here.
Events LoggedEvents() {
  Events events;
  for (const auto& file :
       std::filesystem::directory_iterator(CAROBSHIFT_GATEWAY_DIRECTORY)) {
    if (file.path().extension() != ".cc" ||
        file.path().filename().string().ends_with("_test.cc"))
      continue;
    const std::string text = TextOf(file.path());
    const std::string call = "LogEvent(";
    for (std::size_t at = text.find(call); at != std::string::npos;
         at = text.find(call, at + 1)) {
      const std::string whole = text.substr(at, text.find(';', at) - at);
      const std::size_t fields = whole.find("{{");
      for (const std::string& event :
           Captures(whole.substr(0, fields), "\"([a-z_]+)\"")) {
        std::set<std::string>& known = events[event];
        if (fields != std::string::npos)
          known.merge(Captures(whole.substr(fields), "\\{\"([a-z_]+)\","));
      }
    }
  }
  return events;
}

// The events of the page's table, each with the names in its fields' column.
Events EventsOfPage() {
  Events events;
  std::ifstream in(CAROBSHIFT_OPERATIONS_PAGE);
  bool in_table = false;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("| event | fields |"))
      in_table = true;
    else if (!line.starts_with("|"))
      in_table = false;
    const std::size_t second = line.find('|', 1);
    if (!in_table || second == std::string::npos)
      continue;
    const std::size_t third = line.find('|', second + 1);
    const auto fields =
        Captures(line.substr(second, third - second), "`([a-z_]+)`");
    for (const std::string& event :
         Captures(line.substr(0, second), "`([a-z_]+)`"))
      events[event] = fields;
  }
  return events;
}

TEST_CASE("docs/OPERATIONS.md has a row for every event that is logged") {
  // An operator searches the page for a line's name. A line that isn't there,
  // or a row that no line has any more, costs the time in which callers wait.
  const Events logged = LoggedEvents();
  const Events page = EventsOfPage();
  REQUIRE(logged.size() > 20);
  for (const auto& [event, fields] : logged) {
    INFO(event);
    REQUIRE(page.contains(event));
    const std::set<std::string>& told = page.at(event);
    for (const std::string& field : fields) {
      INFO(field);
      CHECK(told.contains(field));
    }
  }
  for (const auto& [event, fields] : page) {
    INFO(event);
    CHECK(logged.contains(event));
  }
}

}  // namespace
}  // namespace carobshift
