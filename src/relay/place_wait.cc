#include "relay/place_wait.h"

#include <utility>

#include "absl/cleanup/cleanup.h"

namespace dandelion::relay {

base::Task<WaitResult> WaitForPlace(Placer& placer,
                                    base::Clock clock,
                                    PlaceRequest request,
                                    boost::asio::steady_timer& wake) {
  const base::Millis wait_until = request.wait_until;
  WaitResult end;
  PlaceResult answer = placer.Place(
      std::move(request), [&end, &wake](std::optional<migration::Place> place) {
        end.place = std::move(place);
        wake.cancel();
      });
  end.capacity_in = answer.capacity_in;
  if (!answer.ticket) {
    end.place = std::move(answer.place);
    co_return std::move(end);
  }
  const uint64_t ticket = *answer.ticket;
  const absl::Cleanup leave = [&placer, ticket] { placer.CancelWait(ticket); };
  co_await base::SleepOnTimer(wake, wait_until - clock.Now());
  co_return std::move(end);
}

}  // namespace dandelion::relay
