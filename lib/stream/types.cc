// Addresses and header fields.

#include "yuccastair/stream/types.h"

#include <string>
#include <vector>

#include "yuccastair/support/error.h"

namespace yuccastair::stream {

asio::ip::tcp::endpoint ToEndpoint(const support::Address& address) {
  ErrorCode error;
  const auto ip = asio::ip::make_address(address.host, error);
  if (error)
    throw support::Error("parse address", address.ToString(), error.message());
  return {ip, address.port};
}

void RemoveHopByHop(Fields& fields) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(fields[http::field::connection]))
    named.emplace_back(token);
  for (const std::string& name : named)
    fields.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::proxy_authenticate,
        http::field::proxy_authorization, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::content_length, http::field::expect})
    fields.erase(field);
}

}  // namespace yuccastair::stream
