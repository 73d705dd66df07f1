// The checksummed frames of the log file and the snapshot file.

#ifndef YUCCASTAIR_LIB_CONSENSUS_FRAME_H_
#define YUCCASTAIR_LIB_CONSENSUS_FRAME_H_

#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "yuccastair/consensus/file_system.h"

namespace yuccastair::consensus {

/// Returns the encoded \p message behind a header of magic number, length and
/// checksums. Numbers are little-endian, as on all supported platforms.
std::string EncodeFrame(const google::protobuf::MessageLite& message);

/// Reads the frames of a file one after the other. Holds one frame at a time,
/// since a file may be much larger than what is used of it.
class FrameReader {
 public:
  FrameReader(FileSystem& files, std::string path);

  /// Returns the payload of the next frame, valid until the next call; nothing
  /// at the end of the file or at a last frame that is torn. Throws Error if
  /// any other frame is damaged.
  std::optional<std::string_view> Next();

  /// Length of the intact frames so far.
  std::uint64_t intact_bytes() const { return intact_bytes_; }
  std::uint64_t file_bytes() const { return file_bytes_; }

 private:
  /// Holds at least \p size bytes of the file behind the intact frames, if
  /// there are so many.
  std::string_view Remaining(std::uint64_t size);
  bool IsTornTail(std::string_view bytes);

  FileSystem& files_;
  const std::string path_;
  const std::uint64_t file_bytes_;
  std::uint64_t intact_bytes_ = 0;
  // Bytes of the file from buffer_offset_ on.
  std::string buffer_;
  std::uint64_t buffer_offset_ = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_LIB_CONSENSUS_FRAME_H_
