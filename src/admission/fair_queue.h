#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::admission {

/// A request that waits for an upstream.
struct Waiter {
  /// Identifies the waiter to the caller; unique within one queue.
  uint64_t ticket = 0;
  base::OrganisationId organisation;
  /// Whether the request is short or urgent. Such requests form the short
  /// band, which is served before the long band.
  bool is_short = false;
  /// Expected cost: the number of tokens, or 1 for a request without tokens.
  /// Organisations are served equal shares of it.
  double cost = 1;
  /// From then on the request can't be answered on time any more.
  base::Millis late_at{INT64_MAX};
  /// How often a request behind this one was admitted while this one could
  /// not be.
  int times_passed_over = 0;
};

/// A queue of waiting requests that divides the served tokens evenly between
/// organisations (start-time fair queueing). Requests of the short band go
/// before those of the long band, and all that can still be answered on time
/// before those that can't: far beyond the capacity, most are then on time and
/// some late, instead of all a little late. Within a band, the requests of one
/// organisation are served in the order in which they would become late, so
/// that large ones, which need more time, don't become late more often. The
/// number of waiters of each organisation is
/// limited.
class FairQueue {
 public:
  /// Default of `max_times_passed_over`.
  static constexpr int kMaxTimesPassedOver = 200;

  /// A waiter that has been passed over `max_times_passed_over` times blocks
  /// its band until it is admitted, so that smaller requests, which fit
  /// sooner, cannot starve a large one.
  explicit FairQueue(size_t max_per_organisation,
                     int max_times_passed_over = kMaxTimesPassedOver);

  /// Appends a waiter. Returns false if its organisation's queue is full.
  bool Push(const Waiter& waiter);
  /// Removes a waiter; does nothing if it is not in the queue.
  void Remove(uint64_t ticket);

  /// Offers waiters to `admit` in fair order, the short band first, and removes
  /// those for which it returns true. A band ends when the first waiter of
  /// every organisation has been rejected, or as soon as a waiter is rejected
  /// that has been passed over `max_times_passed_over` times.
  void Dispatch(base::Millis now,
                const std::function<bool(const Waiter&)>& admit);

  /// Adds `tokens` to the cost charged to an organisation. Call it with the
  /// difference between actual and expected cost once the length of an answer
  /// is known; the difference may be negative.
  void AdjustCharge(const base::OrganisationId& organisation, double tokens);

  /// Number of waiters that could be answered on time at the last `Dispatch`.
  size_t on_time_size() const;
  /// Number of waiters of all organisations.
  size_t size() const { return size_; }
  /// Number of waiters of one organisation.
  size_t SizeOf(const base::OrganisationId& organisation) const;
  /// Expected tokens that are served before a new request of the organisation,
  /// in its band and the bands before it.
  double BacklogBefore(const base::OrganisationId& organisation,
                       bool is_short) const;
  /// Like `BacklogBefore`, but counts only requests of the same band.
  double BandBacklogBefore(const base::OrganisationId& organisation,
                           bool is_short) const;

 private:
  static constexpr size_t kBands = 4;

  /// The waiters of one organisation.
  struct Flow {
    /// One queue for each band; the late ones come last.
    std::array<std::deque<Waiter>, kBands> waiting;
    /// Virtual time at which the next request starts, in tokens.
    double start_tag = 0;
    size_t size() const;
  };

  double BacklogInBands(const base::OrganisationId& organisation,
                        int first_band,
                        int last_band) const;
  /// Moves the waiters that have become late to the late bands.
  void DemoteLate(base::Millis now);
  void DispatchBand(int band, const std::function<bool(const Waiter&)>& admit);
  void EraseIfIdle(const base::OrganisationId& organisation);

  size_t max_per_organisation_;
  int max_times_passed_over_;
  std::map<base::OrganisationId, Flow> flows_;
  /// The highest start tag of an admitted request, in tokens.
  double virtual_time_ = 0;
  size_t size_ = 0;
};

}  // namespace dandelion::admission
