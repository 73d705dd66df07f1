// Orders control processes by rendezvous hashing.

#include "yuccastair/membership/control_order.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccastair::membership {

std::vector<std::string> OrderControlsForNode(std::vector<std::string> controls,
                                              const std::string& node_id) {
  const auto weight = [&](const std::string& control) {
    const std::string text = control + '|' + node_id;
    return XXH3_64bits(text.data(), text.size());
  };
  std::sort(controls.begin(), controls.end(),
            [&](const std::string& a, const std::string& b) {
              return weight(a) > weight(b);
            });
  return controls;
}

}  // namespace yuccastair::membership
