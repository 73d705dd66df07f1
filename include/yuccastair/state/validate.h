// The rules that entries of the shared settings must meet.

#ifndef YUCCASTAIR_STATE_VALIDATE_H_
#define YUCCASTAIR_STATE_VALIDATE_H_

#include <string>
#include <vector>

#include "yuccastair/state/tree.h"

namespace yuccastair::state {

/// Adds a fault for each rule that one entry breaks by itself. A \p removal
/// needs only a valid name.
void CheckEntry(const wire::SettingsEntry& entry,
                bool removal,
                std::vector<std::string>& faults);

/// Adds a fault for each rule between entries that the tree breaks.
void CheckTree(const SettingsTree& tree, std::vector<std::string>& faults);

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_VALIDATE_H_
