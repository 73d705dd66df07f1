// Encodes and verifies frames; distinguishes a torn tail from damage.

#include "frame.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>
#include <optional>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::consensus {
namespace {

static_assert(std::endian::native == std::endian::little);

constexpr std::uint32_t kFrameMagic = 0x314c4359;  // "YCL1"
// Size of a read, unless a frame is larger.
constexpr std::size_t kReadBytes = std::size_t{1} << 20;

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

}  // namespace

std::string EncodeFrame(const google::protobuf::MessageLite& message) {
  std::string frame(sizeof(FrameHeader), '\0');
  if (!message.AppendToString(&frame))
    throw support::Error("encode frame", "",
                         message.GetTypeName() + " exceeds 2 GiB");
  const std::string_view payload =
      std::string_view(frame).substr(sizeof(FrameHeader));
  FrameHeader header;
  header.length = static_cast<std::uint32_t>(payload.size());
  header.payload_hash = XXH3_64bits(payload.data(), payload.size());
  header.header_hash = HashHeader(header);
  std::memcpy(frame.data(), &header, sizeof header);
  return frame;
}

FrameReader::FrameReader(FileSystem& files, std::string path)
    : files_(files), path_(std::move(path)), file_bytes_(files.Size(path_)) {}

std::string_view FrameReader::Remaining(std::uint64_t size) {
  const std::uint64_t end = std::min(file_bytes_, intact_bytes_ + size);
  if (end > buffer_offset_ + buffer_.size()) {
    // Released first, so that only one buffer is held.
    std::string().swap(buffer_);
    buffer_offset_ = intact_bytes_;
    buffer_ = files_.Read(path_, intact_bytes_,
                          std::max<std::size_t>(size, kReadBytes));
    // A short read must not pass as a torn frame, which would be truncated.
    if (buffer_.size() < end - intact_bytes_)
      throw support::Error(
          "read log file", "",
          path_ + ": the file ended before byte " + std::to_string(end));
  }
  return std::string_view(buffer_).substr(intact_bytes_ - buffer_offset_);
}

std::optional<std::string_view> FrameReader::Next() {
  if (intact_bytes_ >= file_bytes_)
    return std::nullopt;
  std::string_view bytes = Remaining(sizeof(FrameHeader));
  const auto header = DecodeHeader(bytes);
  if (header)
    bytes = Remaining(sizeof(FrameHeader) + std::uint64_t{header->length});
  const auto payload = DecodePayload(bytes);
  if (payload) {
    intact_bytes_ += sizeof(FrameHeader) + payload->size();
    return payload;
  }
  // A file is renamed into place only once its first frame is complete, so the
  // first frame is never torn.
  if (intact_bytes_ > 0 && IsTornTail(bytes))
    return std::nullopt;
  throw support::Error(
      "read log file", "",
      path_ + ": damaged record at byte " + std::to_string(intact_bytes_) +
          "; remove the data directory so that the process rejoins as a new "
          "member");
}

/// Returns whether the invalid frame at the start of \p bytes is the last one.
bool FrameReader::IsTornTail(std::string_view bytes) {
  const std::uint64_t remaining = file_bytes_ - intact_bytes_;
  if (const auto header = DecodeHeader(bytes))
    return remaining - sizeof(FrameHeader) <= header->length;
  return !ContainsFrame(Remaining(remaining).substr(1));
}

}  // namespace yuccastair::consensus
