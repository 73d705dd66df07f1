// Exchanges messages with the assumed leader.

#include "leader_channel.h"

#include <utility>

namespace yuccastair::node {

std::optional<wire::Envelope> LeaderChannel::Exchange(
    wire::Envelope request,
    std::chrono::milliseconds timeout) {
  const std::string address = leader_hint_.Address();
  if (address.empty())
    return std::nullopt;
  const std::uint64_t correlation = pending_.Begin();
  request.set_correlation(correlation);
  if (!transport_.Send(address, std::move(request)))
    pending_.CompleteUndelivered(correlation);
  wire::Answer reply = pending_.Wait(correlation, timeout);
  if (reply.result == wire::WaitResult::kAnswered)
    return std::move(reply.envelope);
  leader_hint_.OnFailure(address);
  return std::nullopt;
}

void LeaderChannel::Redirect(const std::string& leader_address) {
  leader_hint_.OnFailure(leader_hint_.Address());
  leader_hint_.SetLeader(leader_address);
}

}  // namespace yuccastair::node
