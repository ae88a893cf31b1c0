#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
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

// The lower-case names that stand between `before` and `after`.
std::set<std::string> NamesBetween(const std::string& text,
                                   const std::string& before,
                                   const std::string& after) {
  std::set<std::string> names;
  for (std::size_t at = text.find(before); at != std::string::npos;
       at = text.find(before, at + 1)) {
    const std::size_t begin = at + before.size();
    const std::size_t end =
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_", begin);
    if (end != std::string::npos && end > begin &&
        text.compare(end, after.size(), after) == 0)
      names.insert(text.substr(begin, end - begin));
  }
  return names;
}

// The events that the gateway's sources log, each with the fields of its calls.
// A call that takes its fields from a variable contributes none.
Events LoggedEvents() {
  Events events;
  for (const auto& file : std::filesystem::recursive_directory_iterator(
           CAROBSHIFT_GATEWAY_DIRECTORY)) {
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
           NamesBetween(whole.substr(0, fields), "\"", "\"")) {
        std::set<std::string>& known = events[event];
        if (fields != std::string::npos)
          known.merge(NamesBetween(whole.substr(fields), "{\"", "\","));
      }
    }
  }
  return events;
}

// The events of the page's table, each with the names in its "fields" column.
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
        NamesBetween(line.substr(second, third - second), "`", "`");
    for (const std::string& event :
         NamesBetween(line.substr(0, second), "`", "`"))
      events[event] = fields;
  }
  return events;
}

TEST_CASE("docs/OPERATIONS.md has a row for every event that is logged") {
  // Operators look up log events on the page. A missing row, or a row of an
  // event that no longer exists, costs time during an incident.
  const Events logged = LoggedEvents();
  const Events page = EventsOfPage();
  REQUIRE(logged.size() > 20);
  for (const auto& [event, fields] : logged) {
    INFO(event);
    REQUIRE(page.contains(event));
    const std::set<std::string>& documented = page.at(event);
    for (const std::string& field : fields) {
      INFO(field);
      CHECK(documented.contains(field));
    }
  }
  for (const auto& [event, fields] : page) {
    INFO(event);
    CHECK(logged.contains(event));
  }
}

}  // namespace
}  // namespace carobshift
