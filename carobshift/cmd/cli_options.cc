#include "carobshift/cmd/cli_options.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iterator>

namespace carobshift {
namespace {

cxxopts::Options DescribeFlags() {
  cxxopts::Options options("carobshift", "");
  auto add = options.add_options();
  const auto text = [] { return cxxopts::value<std::string>(); };
  add("help", "print help");
  add("json", "print JSON");
  add("entry", "HOST:PORT of any entry (or CAROBSHIFT_ENTRY)", text());
  add("log", "HOST:PORT of the log service (or CAROBSHIFT_LOG)", text());
  add("instance-list", "HOST:PORT of the list (or CAROBSHIFT_INSTANCE_LIST)",
      text());
  add("key-file", "file with the client account's key (or CAROBSHIFT_KEY_FILE)",
      text());
  add("secret-file",
      "file with the deployment's secret (or CAROBSHIFT_SECRET_FILE)", text());
  add("service", "name of a service", text());
  add("conversation", "conversation that the request belongs to", text());
  add("idempotency-key", "key of a call that must not run twice", text());
  add("key-created", "when a key that is not bound was made, in ms since 1970",
      text());
  add("base", "version that the edit was made from",
      cxxopts::value<std::uint64_t>());
  add("max-tokens", "longest answer", cxxopts::value<Tokens>());
  add("count", "rounds of `top`; 0 goes on until interrupted",
      cxxopts::value<int>());
  add("timeout-ms", "longest wait", cxxopts::value<std::int64_t>());
  options.allow_unrecognised_options();
  return options;
}

// Returns the flag's value, else that of its environment variable, else "".
std::string TextOf(const cxxopts::ParseResult& parsed,
                   const std::string& flag) {
  if (parsed.count(flag) > 0)
    return parsed[flag].as<std::string>();
  std::string variable = "CAROBSHIFT_";
  for (const char c : flag)
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  const char* value = std::getenv(variable.c_str());
  return value == nullptr ? "" : value;
}

Status ReadAddress(const cxxopts::ParseResult& parsed,
                   const std::string& flag,
                   std::optional<NetAddress>& out) {
  const std::string text = TextOf(parsed, flag);
  if (text.empty())
    return {};
  out = ParseNetAddress(text);
  if (!out)
    return Error{ResultCode::kMalformedRequest,
                 "--" + flag + ": expected HOST:PORT"};
  return {};
}

Status ReadFileOf(const cxxopts::ParseResult& parsed,
                  const std::string& flag,
                  std::string& out) {
  const std::string path = TextOf(parsed, flag);
  if (path.empty())
    return {};
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return Error{ResultCode::kMalformedRequest,
                 "--" + flag + ": cannot read " + path};
  out.assign(std::istreambuf_iterator<char>(in), {});
  while (!out.empty() && out.back() == '\n')
    out.pop_back();
  return {};
}

Status ReadAll(const cxxopts::ParseResult& parsed, CliOptions& out) {
  for (const Status& status :
       {ReadAddress(parsed, "entry", out.entry),
        ReadAddress(parsed, "log", out.log),
        ReadAddress(parsed, "instance-list", out.instance_list),
        ReadFileOf(parsed, "key-file", out.key),
        ReadFileOf(parsed, "secret-file", out.secret)}) {
    if (!status.ok())
      return status;
  }
  out.help = parsed.count("help") > 0;
  out.json = parsed.count("json") > 0;
  out.service = TextOf(parsed, "service");
  out.conversation = TextOf(parsed, "conversation");
  out.idempotency_key = TextOf(parsed, "idempotency-key");
  out.key_created = TextOf(parsed, "key-created");
  if (parsed.count("base") > 0)
    out.base = ConfigVersion(parsed["base"].as<std::uint64_t>());
  if (parsed.count("max-tokens") > 0)
    out.max_tokens = parsed["max-tokens"].as<Tokens>();
  if (parsed.count("count") > 0)
    out.count = parsed["count"].as<int>();
  if (parsed.count("timeout-ms") > 0)
    out.timeout = Milliseconds(parsed["timeout-ms"].as<std::int64_t>());
  return {};
}

}  // namespace

Result<CliOptions> ParseCliOptions(int argc, char** argv) {
  CliOptions out;
  try {
    const auto parsed = DescribeFlags().parse(argc, argv);
    for (const std::string& word : parsed.unmatched()) {
      if (word.starts_with("-") && word.size() > 1)
        return Error{ResultCode::kMalformedRequest, "unknown flag " + word};
      out.words.push_back(word);
    }
    const Status status = ReadAll(parsed, out);
    if (!status.ok())
      return status.error();
  } catch (const cxxopts::exceptions::exception& e) {
    return Error{ResultCode::kMalformedRequest, e.what()};
  }
  return out;
}

std::string CliFlagsHelp() {
  return DescribeFlags().help();
}

}  // namespace carobshift
