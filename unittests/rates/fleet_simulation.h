// Simulates nodes that spend tokens, leaders that grant them, and a network
// that loses, delays, duplicates and reorders messages.

#ifndef YUCCASTAIR_UNITTESTS_RATES_FLEET_SIMULATION_H_
#define YUCCASTAIR_UNITTESTS_RATES_FLEET_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "yuccastair/rates/rate_ledger.h"
#include "yuccastair/rates/token_leases.h"

namespace yuccastair::rates {

class FleetSimulation {
 public:
  using milliseconds = std::chrono::milliseconds;

  struct Network {
    double loss = 0;
    double duplication = 0;
    int min_delay_ms = 1;
    int max_delay_ms = 1;
  };

  FleetSimulation(unsigned seed, int nodes, RateLimit initial_limit)
      : limit(initial_limit), random_(seed) {
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      StartNode(i);
    StartLedger(0);
  }

  /// Replaces node \p index by a new process and drops its waiting requests.
  void StartNode(std::size_t index) {
    Node& node = nodes_.at(index);
    node.incarnation = std::to_string(++incarnations_);
    node.leases = std::make_unique<TokenLeases>(clock, std::to_string(index),
                                                node.incarnation);
    node.waiting.clear();
  }

  /// Starts the ledger of a new leader, which knows the number of ledgers since
  /// the last settled one.
  void ChangeLeader() {
    earlier_ledgers_ = ledger->IsSettled() ? 1 : earlier_ledgers_ + 1;
    StartLedger(earlier_ledgers_);
  }

  void StartLedger(std::optional<std::uint32_t> earlier_ledgers) {
    ledger = std::make_unique<RateLedger>(
        clock, [this](const std::string&) { return limit; }, earlier_ledgers,
        ++epochs_);
  }

  void Request(std::size_t index) {
    Node& node = nodes_.at(index);
    const double passed =
        std::chrono::duration<double>(clock.Now() - exact_updated_at_).count();
    exact_updated_at_ = clock.Now();
    exact_level_ = std::min(limit->burst, exact_level_ + passed * limit->rate);
    if (exact_level_ >= 1) {
      exact_level_ -= 1;
      ++exact_served;
    }
    if (node.waiting.empty() && node.leases->TryTake("org")) {
      spend_times.push_back(clock.Now());
      return;
    }
    node.leases->AddWaiter("org");
    node.waiting.push_back(clock.Now() + milliseconds(50));
  }

  /// Simulates one millisecond.
  void StepMillisecond() {
    clock.Advance(milliseconds(1));
    DeliverMessages();
    if (ledger)
      ledger->RemoveExpired();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      StepNode(i);
  }

  void Run(int ms, const std::function<void(int)>& each) {
    for (int t = 0; t < ms; ++t) {
      each(t);
      StepMillisecond();
    }
  }

  /// Returns by how much the worst window exceeds burst + rate * T.
  double MaxExcess(RateLimit checked) const {
    double worst = -checked.burst;
    double sum = 0;
    for (std::size_t i = 0; i < spend_times.size(); ++i) {
      if (i > 0) {
        const double gap =
            std::chrono::duration<double>(spend_times[i] - spend_times[i - 1])
                .count();
        sum = std::max(0.0, sum - gap * checked.rate);
      }
      sum += 1;
      worst = std::max(worst, sum - checked.burst);
    }
    return worst;
  }

  int Random(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  std::size_t node_count() const { return nodes_.size(); }
  void Isolate(std::size_t index, bool isolated) {
    nodes_.at(index).isolated = isolated;
  }
  /// Sets whether a node is stalled: it sends nothing, but serves requests that
  /// arrive.
  void Stall(std::size_t index, bool stalled) {
    nodes_.at(index).stalled = stalled;
  }

  support::ManualClock clock;
  std::optional<RateLimit> limit;
  Network network;
  std::unique_ptr<RateLedger> ledger;
  std::vector<support::TimePoint> spend_times;
  int rejected = 0;
  /// Requests of nodes to the leader.
  int sent_requests = 0;
  /// Number of requests that one exact bucket for all nodes would serve.
  int exact_served = 0;

 private:
  struct Node {
    std::string incarnation;
    std::unique_ptr<TokenLeases> leases;
    // Deadlines of requests that wait for a token.
    std::deque<support::TimePoint> waiting;
    bool isolated = false;
    bool stalled = false;
  };
  struct Message {
    std::size_t node = 0;
    std::optional<wire::RateRequest> request;
    wire::RateGrant grant;
  };

  void Send(const Message& message) {
    const int copies = Chance(network.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (nodes_.at(message.node).isolated || Chance(network.loss))
        continue;
      const auto delay =
          milliseconds(Random(network.min_delay_ms, network.max_delay_ms));
      messages_.emplace(clock.Now() + delay, message);
    }
  }

  void DeliverMessages() {
    while (!messages_.empty() && messages_.begin()->first <= clock.Now()) {
      const Message message = messages_.begin()->second;
      messages_.erase(messages_.begin());
      if (nodes_.at(message.node).isolated)
        continue;
      if (message.request && ledger) {
        Send({message.node, std::nullopt, ledger->Handle(*message.request)});
      } else if (!message.request) {
        nodes_.at(message.node).leases->Apply(message.grant);
      }
    }
  }

  void StepNode(std::size_t index) {
    Node& node = nodes_.at(index);
    if (node.stalled)
      return;
    while (!node.waiting.empty() && node.leases->TryTake("org")) {
      spend_times.push_back(clock.Now());
      node.leases->RemoveWaiter("org");
      node.waiting.pop_front();
    }
    while (!node.waiting.empty() && node.waiting.front() <= clock.Now()) {
      node.leases->RemoveWaiter("org");
      node.waiting.pop_front();
      ++rejected;
    }
    if (const auto request = node.leases->NextRequest()) {
      ++sent_requests;
      Send({index, *request, {}});
    }
  }

  std::mt19937 random_;
  std::vector<Node> nodes_;
  int incarnations_ = 0;
  std::uint64_t epochs_ = 0;
  std::uint32_t earlier_ledgers_ = 0;
  std::multimap<support::TimePoint, Message> messages_;
  double exact_level_ = limit->burst;
  support::TimePoint exact_updated_at_ = clock.Now();
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_UNITTESTS_RATES_FLEET_SIMULATION_H_
