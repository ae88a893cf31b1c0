#include "golden/session.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>

namespace carobshift {
namespace {

// Ids, times and addresses that differ between runs.
struct Pattern {
  const char* expression;
  const char* replacement;
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

std::string GoldenPath(const std::string& name) {
  return std::string(CAROBSHIFT_GOLDEN_DIR) + "/" + name + ".golden";
}

}  // namespace

HttpAnswer Session::Send(const std::string& description,
                         const std::string& method,
                         const std::string& path,
                         const HttpSendOptions& options) {
  transcript_ += "# " + description + "\n> " + method + " " + path + "\n";
  for (const auto& [name, value] : options.headers)
    transcript_ += "> " + name + ": " + value + "\n";
  if (!options.body.empty())
    transcript_ += "> " + options.body + "\n";
  std::string events;
  HttpSendOptions recording = options;
  recording.on_line = [&events](std::string_view line) {
    events += "< " + std::string(line) + "\n";
    return true;
  };
  const HttpAnswer answer = HttpSend(entry_, method, path, recording);
  transcript_ += "< " + std::to_string(answer.status) + "\n";
  AppendHeader(transcript_, answer, "Content-Type");
  AppendHeader(transcript_, answer, "Retry-After");
  transcript_ += events.empty() ? "< " + answer.body + "\n" : events;
  transcript_ += "\n";
  return answer;
}

void Session::RecordLine(const std::string& line) {
  transcript_ += line + "\n";
}

void Session::AddReplacement(const std::string& text,
                             const std::string& replacement) {
  replacements_.emplace_back(text, replacement);
}

std::string Session::Normalized() const {
  std::string text = transcript_;
  for (const auto& [from, replacement] : replacements_) {
    for (std::size_t at = text.find(from);
         !from.empty() && at != std::string::npos;
         at = text.find(from, at + replacement.size()))
      text.replace(at, from.size(), replacement);
  }
  for (const Pattern& pattern : kPatterns)
    text = std::regex_replace(text, std::regex(pattern.expression),
                              pattern.replacement);
  return text;
}

bool Session::MatchesFile(const std::string& name) const {
  const std::string text = Normalized();
  if (std::getenv("CAROBSHIFT_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(GoldenPath(name), std::ios::binary) << text;
    return true;
  }
  std::ifstream in(GoldenPath(name), std::ios::binary);
  const std::string expected(std::istreambuf_iterator<char>(in), {});
  if (text != expected)
    std::cerr << "recorded session differs from " << name << ".golden:\n"
              << text;
  return text == expected;
}

}  // namespace carobshift
