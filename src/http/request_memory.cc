#include "http/request_memory.h"

#include <utility>

namespace dandelion::http {

RequestMemory::RequestMemory(base::Clock clock, size_t limit_bytes)
    : clock_(std::move(clock)), limit_(limit_bytes) {}

size_t RequestMemory::LimitFor(size_t body_bytes, size_t header_bytes) {
  // A body of unknown length may take twice its size as it grows, and a header
  // line more than its bytes.
  constexpr size_t kBodyFactor = 2;
  constexpr size_t kHeaderFactor = 32;
  const size_t bytes = body_bytes * kBodyFactor + header_bytes * kHeaderFactor;
  return bytes + bytes / (kReserveDivisor - 1) + 1;
}

bool RequestMemory::MakeRoom(Share& share, size_t more_bytes) {
  const size_t bytes = share.bytes_ + more_bytes;
  const size_t limit =
      bytes <= kSmallRequestBytes ? limit_ : limit_ - limit_ / kReserveDivisor;
  while (used_ + more_bytes > limit) {
    Share* const heaviest = FindHeaviest();
    if (!heaviest || heaviest == &share ||
        WeightOf(*heaviest, heaviest->bytes_) <= WeightOf(share, bytes)) {
      return false;
    }
    heaviest->GiveWay();
  }
  return true;
}

RequestMemory::Share* RequestMemory::FindHeaviest() const {
  Share* heaviest = nullptr;
  double most = 0;
  for (Share* share : arriving_) {
    const double weight = WeightOf(*share, share->bytes_);
    if (weight > most) {
      most = weight;
      heaviest = share;
    }
  }
  return heaviest;
}

double RequestMemory::WeightOf(const Share& share, size_t bytes) const {
  // A request that has just begun has a weight, too.
  const base::Millis age = clock_.Now() - share.began_ + base::Millis(1);
  return static_cast<double>(bytes) * static_cast<double>(age.count());
}

RequestMemory::Share::Share(std::shared_ptr<RequestMemory> memory,
                            std::function<bool()> give_way)
    : memory_(std::move(memory)), give_way_(std::move(give_way)) {}

RequestMemory::Share::~Share() {
  Release();
}

void RequestMemory::Share::Begin() {
  began_ = memory_->clock_.Now();
  gave_way_ = false;
  memory_->arriving_.insert(this);
}

bool RequestMemory::Share::Resize(size_t bytes) {
  if (gave_way_) {
    return false;
  }
  if (bytes > bytes_ && !memory_->MakeRoom(*this, bytes - bytes_)) {
    return false;
  }
  memory_->used_ = memory_->used_ - bytes_ + bytes;
  bytes_ = bytes;
  return true;
}

void RequestMemory::Share::Complete() {
  memory_->arriving_.erase(this);
}

bool RequestMemory::Share::MayGiveWay() {
  return memory_->arriving_.contains(this);
}

void RequestMemory::Share::Release() {
  Complete();
  memory_->used_ -= bytes_;
  bytes_ = 0;
}

void RequestMemory::Share::GiveWay() {
  if (!give_way_()) {
    Complete();
    return;
  }
  Release();
  gave_way_ = true;
}

}  // namespace dandelion::http
