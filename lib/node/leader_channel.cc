// Exchanges messages with the assumed leader.

#include "leader_channel.h"

#include <utility>

namespace yuccastair::node {

std::optional<wire::Envelope> LeaderChannel::Exchange(
    wire::Envelope request,
    std::chrono::milliseconds timeout) {
  const std::string address = leader_.Address();
  if (address.empty())
    return std::nullopt;
  const std::uint64_t correlation = pending_.Begin();
  request.set_correlation(correlation);
  if (!transport_.Send(address, std::move(request)))
    pending_.CompleteUndelivered(correlation);
  wire::Answer answer = pending_.Wait(correlation, timeout);
  if (answer.result == wire::WaitResult::kAnswered)
    return std::move(answer.envelope);
  leader_.Failed(address);
  return std::nullopt;
}

void LeaderChannel::Redirect(const std::string& leader_address) {
  leader_.Failed(leader_.Address());
  leader_.Set(leader_address);
}

}  // namespace yuccastair::node
