#include "admission/fair_queue.h"

#include <algorithm>
#include <vector>

namespace dandelion::admission {
namespace {

constexpr int kShortBand = 0;
constexpr int kLongBand = 1;
// Bands of waiters that can be answered on time; as many late ones follow.
constexpr int kOnTimeBands = 2;

int BandOf(bool is_short) {
  return is_short ? kShortBand : kLongBand;
}

}  // namespace

FairQueue::FairQueue(size_t max_per_organisation, int max_times_passed_over)
    : max_per_organisation_(max_per_organisation),
      max_times_passed_over_(max_times_passed_over) {}

size_t FairQueue::Flow::size() const {
  size_t count = 0;
  for (const auto& queue : waiting) {
    count += queue.size();
  }
  return count;
}

size_t FairQueue::on_time_size() const {
  size_t count = 0;
  for (const auto& [organisation, flow] : flows_) {
    for (int band = 0; band < kOnTimeBands; ++band) {
      count += flow.waiting[band].size();
    }
  }
  return count;
}

void FairQueue::DemoteLate(base::Millis now) {
  for (auto& [organisation, flow] : flows_) {
    for (int band = 0; band < kOnTimeBands; ++band) {
      auto& queue = flow.waiting[band];
      auto& late = flow.waiting[band + kOnTimeBands];
      const auto first_late = std::stable_partition(
          queue.begin(), queue.end(),
          [now](const Waiter& waiter) { return now < waiter.late_at; });
      late.insert(late.end(), first_late, queue.end());
      queue.erase(first_late, queue.end());
    }
  }
}

bool FairQueue::Push(const Waiter& waiter) {
  Flow& flow = flows_[waiter.organisation];
  if (flow.size() >= max_per_organisation_) {
    return false;
  }
  if (flow.size() == 0) {
    // An organisation that was idle starts at the current virtual time, so that
    // it does not gain priority from the time in which it sent nothing.
    flow.start_tag = std::max(flow.start_tag, virtual_time_);
  }
  auto& queue = flow.waiting[BandOf(waiter.is_short)];
  const auto next = std::upper_bound(
      queue.begin(), queue.end(), waiter,
      [](const Waiter& a, const Waiter& b) { return a.late_at < b.late_at; });
  queue.insert(next, waiter);
  ++size_;
  return true;
}

void FairQueue::Remove(uint64_t ticket) {
  for (auto& [organisation, flow] : flows_) {
    for (auto& queue : flow.waiting) {
      size_ -= std::erase_if(
          queue, [ticket](const Waiter& w) { return w.ticket == ticket; });
    }
  }
}

void FairQueue::Dispatch(base::Millis now,
                         const std::function<bool(const Waiter&)>& admit) {
  DemoteLate(now);
  for (int band = 0; band < static_cast<int>(kBands); ++band) {
    DispatchBand(band, admit);
  }
}

void FairQueue::DispatchBand(int band,
                             const std::function<bool(const Waiter&)>& admit) {
  std::vector<std::map<base::OrganisationId, Flow>::iterator> heap;
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (!it->second.waiting[band].empty()) {
      heap.push_back(it);
    }
  }
  const auto starts_later = [](const auto& a, const auto& b) {
    return a->second.start_tag > b->second.start_tag;
  };
  std::make_heap(heap.begin(), heap.end(), starts_later);
  std::vector<Waiter*> skipped;
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end(), starts_later);
    Flow& flow = heap.back()->second;
    auto& queue = flow.waiting[band];
    if (!admit(queue.front())) {
      skipped.push_back(&queue.front());
      heap.pop_back();
      if (queue.front().times_passed_over >= max_times_passed_over_) {
        return;
      }
      continue;
    }
    virtual_time_ = std::max(virtual_time_, flow.start_tag);
    flow.start_tag += queue.front().cost;
    queue.pop_front();
    --size_;
    for (Waiter* waiter : skipped) {
      ++waiter->times_passed_over;
    }
    if (queue.empty()) {
      heap.pop_back();
    } else {
      std::push_heap(heap.begin(), heap.end(), starts_later);
    }
  }
}

void FairQueue::AdjustCharge(const base::OrganisationId& organisation,
                             double tokens) {
  const auto flow = flows_.find(organisation);
  if (flow != flows_.end()) {
    flow->second.start_tag += tokens;
    EraseIfIdle(organisation);
  }
}

void FairQueue::EraseIfIdle(const base::OrganisationId& organisation) {
  const auto flow = flows_.find(organisation);
  if (flow->second.size() == 0 && flow->second.start_tag <= virtual_time_) {
    flows_.erase(flow);
  }
}

size_t FairQueue::SizeOf(const base::OrganisationId& organisation) const {
  const auto flow = flows_.find(organisation);
  return flow == flows_.end() ? 0 : flow->second.size();
}

double FairQueue::BacklogBefore(const base::OrganisationId& organisation,
                                bool is_short) const {
  return BacklogInBands(organisation, kShortBand, BandOf(is_short));
}

double FairQueue::BandBacklogBefore(const base::OrganisationId& organisation,
                                    bool is_short) const {
  return BacklogInBands(organisation, BandOf(is_short), BandOf(is_short));
}

double FairQueue::BacklogInBands(const base::OrganisationId& organisation,
                                 int first_band,
                                 int last_band) const {
  const auto queued_tokens = [first_band, last_band](const Flow& flow) {
    double tokens = 0;
    for (int band = first_band; band <= last_band; ++band) {
      for (const Waiter& waiter : flow.waiting[band]) {
        tokens += waiter.cost;
      }
    }
    return tokens;
  };
  const auto own_flow = flows_.find(organisation);
  const double own_tokens =
      own_flow == flows_.end() ? 0 : queued_tokens(own_flow->second);
  // While this organisation is served its queued tokens, every other one is
  // served at most as many.
  double backlog = own_tokens;
  for (const auto& [id, flow] : flows_) {
    if (id != organisation) {
      backlog += std::min(own_tokens, queued_tokens(flow));
    }
  }
  return backlog;
}

}  // namespace dandelion::admission
