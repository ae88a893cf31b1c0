#include "carobshift/net/connection_quota.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobshift {
namespace {

// Places and bytes are taken in portions of this part of all, as a divisor:
// looking for them takes a pass through all connections.
constexpr std::size_t kPortion = 64;

double InSeconds(MonotonicTime time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}  // namespace

ConnectionSlot::ConnectionSlot(ConnectionQuota& quota, ByteReservation reserved)
    : quota_(quota), reserved_(std::move(reserved)) {
  quota_.slots_.insert(this);
}

ConnectionSlot::~ConnectionSlot() {
  quota_.slots_.erase(this);
  if (ended_)
    --quota_.ended_;
}

void ConnectionSlot::Attach(std::weak_ptr<QuotaMember> member,
                            std::weak_ptr<QuotaSocket> socket) {
  member_ = std::move(member);
  socket_ = std::move(socket);
}

void ConnectionSlot::OnEnded(MonotonicTime now) {
  if (std::exchange(ended_, true))
    return;
  ended_at_ = now;
  ++quota_.ended_;
}

ConnectionQuota::ConnectionQuota(const ConnectionQuotaOptions& options,
                                 ByteBudget& budget)
    : options_(options), budget_(budget) {}

ConnectionQuota::~ConnectionQuota() = default;

std::shared_ptr<ConnectionSlot> ConnectionQuota::Admit(MonotonicTime now) {
  ReclaimPlaces(/*asking=*/nullptr, now);
  ByteReservation reserved(&budget_, ByteImportance::kRequest);
  if (slots_.size() >= options_.max_connections ||
      !Grow(reserved, kConnectionBytes, /*asking=*/nullptr, now)) {
    ++counters_.connections_refused;
    return nullptr;
  }
  return std::make_shared<ConnectionSlot>(*this, std::move(reserved));
}

void ConnectionQuota::ReclaimPlaces(const QuotaMember* asking,
                                    MonotonicTime now) {
  const std::size_t most = options_.max_connections;
  const std::size_t portion = std::max<std::size_t>(1, most / kPortion);
  const std::size_t active = slots_.size() - ended_;
  if (active >= options_.max_active) {
    std::size_t left = active - options_.max_active + portion;
    for (const Candidate& candidate :
         Candidates(Rank::kStalled, Rank::kUnreadReply, asking, now)) {
      Take(candidate);
      if (--left == 0)
        break;
    }
  }
  if (slots_.size() < most)
    return;
  std::size_t left = portion;
  for (const Candidate& candidate :
       Candidates(Rank::kEnded, Rank::kEnded, asking, now)) {
    Take(candidate);
    if (--left == 0)
      break;
  }
}

bool ConnectionQuota::Grow(ByteReservation& reserved,
                           std::size_t size,
                           const QuotaMember* asking,
                           MonotonicTime now) {
  if (reserved.GrowTo(size))
    return true;
  const bool is_small = size <= ByteBudget::kSmallBytes;
  const Rank last = is_small ? Rank::kUnreadReply : Rank::kStalled;
  bool has_room = false;
  std::size_t held_until = 0;
  for (const Candidate& candidate :
       Candidates(Rank::kStalled, last, asking, now)) {
    if (has_room &&
        (candidate.rank != Rank::kStalled || budget_.held() <= held_until))
      break;
    Take(candidate);
    if (!has_room && reserved.GrowTo(size)) {
      has_room = true;
      const std::size_t portion = budget_.limit() / kPortion;
      held_until = budget_.held() - std::min(budget_.held(), portion);
    }
  }
  if (!has_room)
    ++counters_.bytes_refused;
  return has_room;
}

ConnectionQuota::Candidate ConnectionQuota::Judge(
    std::shared_ptr<ConnectionSlot> slot,
    MonotonicTime now) {
  const auto member = slot->member_.lock();
  if (slot->ended_ || member == nullptr) {
    const double order = InSeconds(slot->ended_at_);
    return {Rank::kEnded, order, std::move(slot)};
  }
  const ConnectionActivity activity = member->activity();
  switch (activity.state) {
    case ConnectionState::kIdle:
      if (now - activity.since <= kGraceTime)
        return {Rank::kBegun, kMinBytesPerSecond, std::move(slot)};
      return {Rank::kIdle, InSeconds(activity.since), std::move(slot)};
    case ConnectionState::kSending:
      return {Rank::kUnreadReply, InSeconds(activity.since), std::move(slot)};
    case ConnectionState::kServing:
      return {Rank::kKept, 0, std::move(slot)};
    case ConnectionState::kReading:
      break;
  }
  const bool is_stalled = now - activity.since > kGraceTime &&
                          activity.bytes_per_second < kMinBytesPerSecond;
  return {is_stalled ? Rank::kStalled : Rank::kBegun, activity.bytes_per_second,
          std::move(slot)};
}

std::vector<ConnectionQuota::Candidate> ConnectionQuota::Candidates(
    Rank first,
    Rank last,
    const QuotaMember* asking,
    MonotonicTime now) const {
  std::vector<Candidate> candidates;
  for (ConnectionSlot* const slot : slots_) {
    if (asking != nullptr && slot->member_.lock().get() == asking)
      continue;
    Candidate candidate = Judge(slot->shared_from_this(), now);
    if (candidate.rank >= first && candidate.rank <= last)
      candidates.push_back(std::move(candidate));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.rank, a.order) < std::pair(b.rank, b.order);
            });
  return candidates;
}

void ConnectionQuota::Take(const Candidate& candidate) {
  if (candidate.rank == Rank::kEnded) {
    ++counters_.ended_closed;
    if (const auto socket = candidate.slot->socket_.lock())
      socket->Close();
    return;
  }
  // It may have ended since it was judged.
  const auto member = candidate.slot->member_.lock();
  if (member == nullptr || candidate.slot->ended_)
    return;
  if (candidate.rank == Rank::kIdle)
    ++counters_.idle_closed;
  else if (candidate.rank == Rank::kUnreadReply)
    ++counters_.unread_replies_cut;
  else
    ++counters_.unfinished_refused;
  member->Reclaim();
}

}  // namespace carobshift
