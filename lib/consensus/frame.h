// The checksummed frames of the log file and the snapshot file.

#ifndef YUCCASTAIR_LIB_CONSENSUS_FRAME_H_
#define YUCCASTAIR_LIB_CONSENSUS_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace yuccastair::consensus {

/// Returns \p payload with a header of magic number, length and checksums.
/// Numbers are little-endian, as on all supported platforms.
std::string EncodeFrame(std::string_view payload);

struct DecodedFrames {
  /// Views into the decoded bytes.
  std::vector<std::string_view> payloads;
  /// Length of the intact frames in bytes; any remaining bytes are one torn
  /// frame.
  std::size_t intact_bytes = 0;
};

/// Splits \p bytes into frames. Throws Error that names \p path if a frame
/// other than the last is damaged.
DecodedFrames DecodeFrames(std::string_view bytes, const std::string& path);

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_LIB_CONSENSUS_FRAME_H_
