// HTTP requests and responses as the rest of the project sees them.

#ifndef YUCCASTAIR_HTTP_MESSAGE_H_
#define YUCCASTAIR_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccastair::http {

struct Header {
  std::string name;
  std::string value;
};

/// Returns whether two header names are equal, ignoring case.
bool SameName(std::string_view a, std::string_view b);

/// Returns the value of the first header of that name, or an empty string.
std::string FindHeader(const std::vector<Header>& headers,
                       std::string_view name);

/// Removes every header of that name.
void RemoveHeader(std::vector<Header>& headers, std::string_view name);

/// Removes the headers that describe one connection and not the message.
void RemoveHopByHopHeaders(std::vector<Header>& headers);

struct Request {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<Header> headers;
  std::string body;
  /// Returns whether the sender has closed its connection. May be empty.
  std::function<bool()> caller_gone;
};

struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
  /// Closes the connection after the response, which frees its server thread.
  bool close_connection = false;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_MESSAGE_H_
