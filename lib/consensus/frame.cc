// Encodes and verifies frames; distinguishes a torn tail from damage.

#include "frame.h"

#include <xxhash.h>

#include <bit>
#include <cstdint>
#include <cstring>
#include <limits>
#include <optional>

#include "yuccastair/support/error.h"

namespace yuccastair::consensus {
namespace {

static_assert(std::endian::native == std::endian::little);

constexpr std::uint32_t kFrameMagic = 0x314c4359;  // "YCL1"

struct FrameHeader {
  std::uint32_t magic = kFrameMagic;
  std::uint32_t length = 0;
  std::uint64_t payload_hash = 0;
  // Hash of the fields above, so that a damaged length is not mistaken for a
  // torn tail.
  std::uint64_t header_hash = 0;
};
static_assert(sizeof(FrameHeader) == 24);

std::uint64_t HashHeader(const FrameHeader& header) {
  return XXH3_64bits(&header, offsetof(FrameHeader, header_hash));
}

std::optional<FrameHeader> DecodeHeader(std::string_view bytes) {
  FrameHeader header;
  if (bytes.size() < sizeof header)
    return std::nullopt;
  std::memcpy(&header, bytes.data(), sizeof header);
  if (header.magic != kFrameMagic || header.header_hash != HashHeader(header))
    return std::nullopt;
  return header;
}

std::optional<std::string_view> DecodePayload(std::string_view bytes) {
  const auto header = DecodeHeader(bytes);
  if (!header || bytes.size() - sizeof(FrameHeader) < header->length)
    return std::nullopt;
  const std::string_view payload =
      bytes.substr(sizeof(FrameHeader), header->length);
  if (XXH3_64bits(payload.data(), payload.size()) != header->payload_hash)
    return std::nullopt;
  return payload;
}

/// Returns whether an intact frame starts anywhere in \p bytes.
bool ContainsFrame(std::string_view bytes) {
  char magic[sizeof kFrameMagic];
  std::memcpy(magic, &kFrameMagic, sizeof magic);
  const std::string_view pattern(magic, sizeof magic);
  for (std::size_t at = bytes.find(pattern); at != std::string_view::npos;
       at = bytes.find(pattern, at + 1)) {
    if (DecodePayload(bytes.substr(at)))
      return true;
  }
  return false;
}

/// Returns whether the invalid frame at the start of \p bytes is the last one.
bool IsTornTail(std::string_view bytes) {
  if (const auto header = DecodeHeader(bytes))
    return bytes.size() - sizeof(FrameHeader) <= header->length;
  return !ContainsFrame(bytes.substr(1));
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  if (payload.size() > std::numeric_limits<std::uint32_t>::max())
    throw support::Error("encode frame", "", "payload exceeds 4 GiB");
  FrameHeader header;
  header.length = static_cast<std::uint32_t>(payload.size());
  header.payload_hash = XXH3_64bits(payload.data(), payload.size());
  header.header_hash = HashHeader(header);
  std::string frame(reinterpret_cast<const char*>(&header), sizeof header);
  frame.append(payload);
  return frame;
}

DecodedFrames DecodeFrames(std::string_view bytes, const std::string& path) {
  DecodedFrames frames;
  while (frames.intact_bytes < bytes.size()) {
    const std::string_view remaining = bytes.substr(frames.intact_bytes);
    const auto payload = DecodePayload(remaining);
    if (!payload) {
      // A file is renamed into place only once its first frame is complete, so
      // the first frame is never torn.
      if (frames.intact_bytes > 0 && IsTornTail(remaining))
        break;
      throw support::Error("read log file", "",
                           path + ": damaged record at byte " +
                               std::to_string(frames.intact_bytes) +
                               "; remove the data directory so that the "
                               "process rejoins as a new member");
    }
    frames.payloads.push_back(*payload);
    frames.intact_bytes += sizeof(FrameHeader) + payload->size();
  }
  return frames;
}

}  // namespace yuccastair::consensus
