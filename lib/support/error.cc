// Builds the text of an error from its step, its peer and its message.

#include "yuccastair/support/error.h"

#include <utility>

namespace yuccastair::support {
namespace {

std::string Describe(const std::string& step,
                     const std::string& peer,
                     const std::string& message) {
  if (peer.empty())
    return step + ": " + message;
  return step + " (" + peer + "): " + message;
}

}  // namespace

Error::Error(std::string step, std::string peer, const std::string& message)
    : std::runtime_error(Describe(step, peer, message)),
      step_(std::move(step)),
      peer_(std::move(peer)) {}

}  // namespace yuccastair::support
