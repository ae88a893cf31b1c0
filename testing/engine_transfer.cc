#include "testing/engine_transfer.h"

#include <cstdlib>

#include "carobshift/base/digest.h"
#include "carobshift/base/net_address.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr std::size_t kPartBytes = 256 * 1024;
constexpr std::size_t kHexDigits = 32;
constexpr char kHeaderEnd = '\n';

std::string ObjectData(const std::vector<BlockHash>& chain,
                       Bytes bytes_per_token) {
  std::string data;
  for (const BlockHash& block : chain)
    data += ToHex(block);
  data += kHeaderEnd;
  const auto filler = static_cast<std::size_t>(
      static_cast<Bytes>(chain.size()) * kBlockTokens * bytes_per_token);
  data.append(filler, 'k');
  return data;
}

std::vector<BlockHash> ParseChain(const std::string& data) {
  std::vector<BlockHash> chain;
  for (std::size_t at = 0; at + kHexDigits <= data.size(); at += kHexDigits) {
    if (data[at] == kHeaderEnd)
      return chain;
    const auto block = BlockHashFromHex(data.substr(at, kHexDigits));
    if (!block)
      return {};
    chain.push_back(*block);
  }
  return chain;
}

ResultCode ErrorOf(const HttpAnswer& answer) {
  return answer.status == HttpStatusOf(ResultCode::kStoreFull)
             ? ResultCode::kStoreFull
             : ResultCode::kStoreUnavailable;
}

}  // namespace

ExportOutcome StoreBlocks(const std::vector<BlockHash>& chain,
                          const json& request,
                          const std::function<bool()>& should_crash) {
  const auto store =
      ParseNetAddress(request.at("store_address").get<std::string>());
  if (!store)
    return {ResultCode::kMalformedRequest, {}};
  const std::string data =
      ObjectData(chain, request.at("bytes_per_token").get<Bytes>());
  const HttpAnswer created =
      HttpSend(*store, "POST", "/objects",
               {.body = json{{"bytes", data.size()}}.dump()});
  if (created.status != 200)
    return {ErrorOf(created), {}};
  const auto object = created.Json().at("object").get<std::string>();
  const std::string path = "/objects/" + object;
  for (std::size_t at = 0; at < data.size(); at += kPartBytes) {
    if (at >= data.size() / 2 && should_crash())
      std::_Exit(1);
    const HttpAnswer part = HttpSend(
        *store, "PUT", path + "/parts/" + std::to_string(at / kPartBytes),
        {.body = data.substr(at, kPartBytes)});
    if (part.status != 200)
      return {ErrorOf(part), {}};
  }
  const std::uint64_t checksum = FastHash(data);
  const HttpAnswer sealed =
      HttpSend(*store, "POST", path + "/seal",
               {.body = json{{"checksum", checksum}}.dump()});
  if (sealed.status != 200)
    return {ErrorOf(sealed), {}};
  return {std::nullopt,
          {{"store", request.at("store")},
           {"generation", created.Json().at("generation")},
           {"checksum", checksum},
           {"object", object},
           {"last_block", ToHex(chain.back())},
           {"tokens", static_cast<Tokens>(chain.size()) * kBlockTokens},
           {"bytes", data.size()}}};
}

std::vector<BlockHash> FetchBlocks(const json& handle,
                                   const std::string& store_address) {
  const auto store = ParseNetAddress(store_address);
  if (!store)
    return {};
  const auto checksum = handle.at("checksum").get<std::uint64_t>();
  const auto generation = handle.at("generation").get<std::uint64_t>();
  constexpr Milliseconds kReadTimeout{1000};
  const HttpAnswer answer =
      HttpSend(*store, "GET",
               "/objects/" + handle.at("object").get<std::string>() +
                   "?generation=" + std::to_string(generation) +
                   "&checksum=" + std::to_string(checksum),
               {.timeout = kReadTimeout});
  if (answer.status != 200 || FastHash(answer.body) != checksum)
    return {};
  std::vector<BlockHash> chain = ParseChain(answer.body);
  if (chain.empty() || ToHex(chain.back()) != handle.at("last_block"))
    return {};
  return chain;
}

}  // namespace carobshift
