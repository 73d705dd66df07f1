// The distance between two names, for hints at misspelt ones.

#ifndef YUCCASTAIR_SUPPORT_EDIT_DISTANCE_H_
#define YUCCASTAIR_SUPPORT_EDIT_DISTANCE_H_

#include <cstddef>
#include <string_view>

namespace yuccastair::support {

/// Returns how many characters have to be inserted, removed or replaced to turn
/// \p a into \p b.
std::size_t EditDistance(std::string_view a, std::string_view b);

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_EDIT_DISTANCE_H_
