// The query parameters of an operator's request.

#ifndef YUCCASTAIR_LIB_CONTROL_QUERY_PARAMETERS_H_
#define YUCCASTAIR_LIB_CONTROL_QUERY_PARAMETERS_H_

#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace yuccastair::control {

/// Parameter values by name. Percent encoding is not decoded, since every name
/// in the settings consists of characters that a query may contain.
class QueryParameters {
 public:
  explicit QueryParameters(std::string_view text) {
    while (!text.empty()) {
      const std::string_view part = text.substr(0, text.find('&'));
      text.remove_prefix(part.size() < text.size() ? part.size() + 1
                                                   : part.size());
      const std::size_t equals = part.find('=');
      if (equals != std::string_view::npos)
        values_.emplace(part.substr(0, equals), part.substr(equals + 1));
    }
  }

  /// Returns an empty string if the parameter is missing.
  std::string GetText(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? "" : found->second;
  }

  /// Returns nothing if the parameter is missing or not an unsigned integer.
  std::optional<std::uint64_t> GetNumber(const std::string& name) const {
    const std::string text = GetText(name);
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
      return std::nullopt;
    return number;
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_QUERY_PARAMETERS_H_
