// Computes the digest of all log probes.

#include "probe_table.h"

#include <xxhash.h>

#include "consensus.pb.h"
#include "yuccastair/support/error.h"

namespace yuccastair::control {

std::string ProbeTable::Apply(std::uint64_t /*index*/,
                              const std::string& command) {
  digest_ = XXH3_64bits_withSeed(command.data(), command.size(), digest_);
  ++count_;
  return "";
}

std::string ProbeTable::TakeSnapshot() const {
  wire::LogProbeReply state;
  state.set_probes(count_);
  state.set_digest(digest_);
  return state.SerializeAsString();
}

void ProbeTable::RestoreSnapshot(const std::string& snapshot) {
  wire::LogProbeReply state;
  if (!state.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the probe table is malformed");
  count_ = state.probes();
  digest_ = state.digest();
}

}  // namespace yuccastair::control
