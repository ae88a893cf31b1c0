#include "golden/session.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>

namespace carobshift {
namespace {

// Ids and times that no run repeats.
struct Pattern {
  const char* expression;
  const char* by;
};
constexpr std::array kPatterns = {
    Pattern{"entry-[0-9]+-[0-9a-f]{16}", "REQUEST"},
    Pattern{"\"created\":[0-9]+", "\"created\":TIME"},
    Pattern{"\"time\":[0-9]+", "\"time\":TIME"},
    Pattern{"\"retry_after_ms\":[0-9]+", "\"retry_after_ms\":TIME"},
    Pattern{"\"expires_at_ms\":[0-9]+", "\"expires_at_ms\":TIME"},
    Pattern{"127\\.0\\.0\\.1:[0-9]+", "ADDRESS"},
};

void AppendHeader(std::string& text,
                  const HttpAnswer& answer,
                  const std::string& name) {
  const std::string value = answer.Header(name);
  if (!value.empty())
    text += "< " + name + ": " + value + "\n";
}

std::string PathOf(const std::string& name) {
  return std::string(CAROBSHIFT_GOLDEN_DIR) + "/" + name + ".golden";
}

}  // namespace

HttpAnswer Session::Send(const std::string& note,
                         const std::string& method,
                         const std::string& path,
                         const HttpSendOptions& options) {
  text_ += "# " + note + "\n> " + method + " " + path + "\n";
  for (const auto& [name, value] : options.headers)
    text_ += "> " + name + ": " + value + "\n";
  if (!options.body.empty())
    text_ += "> " + options.body + "\n";
  std::string events;
  HttpSendOptions recording = options;
  recording.on_line = [&events](std::string_view line) {
    events += "< " + std::string(line) + "\n";
    return true;
  };
  const HttpAnswer answer = HttpSend(entry_, method, path, recording);
  text_ += "< " + std::to_string(answer.status) + "\n";
  AppendHeader(text_, answer, "Content-Type");
  AppendHeader(text_, answer, "Retry-After");
  text_ += events.empty() ? "< " + answer.body + "\n" : events;
  text_ += "\n";
  return answer;
}

void Session::Note(const std::string& line) {
  text_ += line + "\n";
}

void Session::Replace(const std::string& text, const std::string& by) {
  replacements_.emplace_back(text, by);
}

std::string Session::Normalized() const {
  std::string text = text_;
  for (const auto& [from, by] : replacements_) {
    for (std::size_t at = text.find(from);
         !from.empty() && at != std::string::npos;
         at = text.find(from, at + by.size()))
      text.replace(at, from.size(), by);
  }
  for (const Pattern& pattern : kPatterns)
    text = std::regex_replace(text, std::regex(pattern.expression), pattern.by);
  return text;
}

bool Session::MatchesFile(const std::string& name) const {
  const std::string text = Normalized();
  if (std::getenv("CAROBSHIFT_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(PathOf(name), std::ios::binary) << text;
    return true;
  }
  std::ifstream in(PathOf(name), std::ios::binary);
  const std::string expected(std::istreambuf_iterator<char>(in), {});
  if (text != expected)
    std::cerr << "recorded session, unlike " << name << ".golden:\n" << text;
  return text == expected;
}

}  // namespace carobshift
