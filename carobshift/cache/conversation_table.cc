#include "carobshift/cache/conversation_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobshift {

ConversationTable::ConversationTable(const ConversationTableOptions& options)
    : options_(options) {}

std::vector<HandleId> ConversationTable::EvictOne() {
  const double returned_limit =
      static_cast<double>(options_.max_conversations) * kMaxReturnedFraction;
  const bool too_many_returned =
      static_cast<double>(returned_.size()) > returned_limit;
  Entries& entries =
      too_many_returned || seen_once_.empty() ? returned_ : seen_once_;
  Entry& oldest = entries.back();
  std::vector<HandleId> orphans = std::move(oldest.conversation.handles);
  population_.RecordAbandoned();
  index_.erase(oldest.key);
  entries.pop_back();
  return orphans;
}

std::vector<HandleId> ConversationTable::OnTurn(const ConversationKey& key,
                                                MonotonicTime now) {
  std::vector<HandleId> orphans;
  const auto it = index_.find(key);
  if (it == index_.end()) {
    if (index_.size() >= options_.max_conversations)
      orphans = EvictOne();
    seen_once_.push_front({key, {}});
    index_.emplace(key, seen_once_.begin());
  } else {
    Conversation& known = it->second->conversation;
    const auto gap = std::chrono::duration_cast<Seconds>(now - known.last_seen);
    known.gaps.Record(gap);
    population_.Record(gap);
    Entries& from = known.turns == 1 ? seen_once_ : returned_;
    returned_.splice(returned_.begin(), from, it->second);
  }
  Conversation& conversation = index_.at(key)->conversation;
  conversation.last_seen = now;
  ++conversation.turns;
  return orphans;
}

std::vector<HandleId> ConversationTable::AddHandle(const ConversationKey& key,
                                                   HandleId handle) {
  const auto it = index_.find(key);
  if (it == index_.end())
    return {handle};
  std::vector<HandleId>& handles = it->second->conversation.handles;
  std::vector<HandleId> pushed_out;
  if (handles.size() >= kMaxHandlesPerConversation) {
    pushed_out.push_back(handles.front());
    handles.erase(handles.begin());
  }
  handles.push_back(handle);
  return pushed_out;
}

void ConversationTable::RemoveHandle(const ConversationKey& key,
                                     HandleId handle) {
  const auto it = index_.find(key);
  if (it != index_.end())
    std::erase(it->second->conversation.handles, handle);
}

const Conversation* ConversationTable::Find(const ConversationKey& key) const {
  const auto it = index_.find(key);
  return it == index_.end() ? nullptr : &it->second->conversation;
}

}  // namespace carobshift
