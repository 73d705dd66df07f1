// Tests the data directory under torn writes, damage and disk failures. Guards
// against the loss of acknowledged entries and a start from damaged state.

#include "yuccastair/consensus/disk_storage.h"

#include <catch2/catch.hpp>
#include <filesystem>

#include "in_memory_file_system.h"
#include "temporary_dir.h"

namespace yuccastair::consensus {
namespace {

constexpr const char* kLogPath = "d/log";

wire::LogEntry Entry(std::uint64_t index, std::uint64_t term) {
  wire::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_payload("command " + std::to_string(index) + "." +
                    std::to_string(term));
  return entry;
}

/// Writes entries 1 to 3, one sync each; returns the log size after each.
std::vector<std::size_t> WriteThreeEntries(InMemoryFileSystem& files) {
  DiskStorage storage(files, "d");
  std::vector<std::size_t> sizes{files.At(kLogPath).data.size()};
  storage.SetTermAndVote(4, "candidate");
  for (std::uint64_t index = 1; index <= 3; ++index) {
    storage.Append(Entry(index, 4));
    storage.Sync();
    sizes.push_back(files.At(kLogPath).data.size());
  }
  return sizes;
}

std::size_t CountEntriesAfterStart(InMemoryFileSystem& files) {
  return DiskStorage(files, "d").TakeStoredState().entries.size();
}

TEST_CASE("synced state is loaded again, with the same identity") {
  InMemoryFileSystem files;
  WriteThreeEntries(files);
  DiskStorage first(files, "d");
  const StoredState state = first.TakeStoredState();
  CHECK(state.term == 4);
  CHECK(state.voted_for == "candidate");
  REQUIRE(state.entries.size() == 3);
  CHECK(state.entries[2].payload() == "command 3.4");
  CHECK(DiskStorage(files, "d").Identity() == first.Identity());
}

TEST_CASE("an entry replaces earlier ones from its index on") {
  InMemoryFileSystem files;
  WriteThreeEntries(files);
  {
    DiskStorage storage(files, "d");
    storage.Append(Entry(2, 5));
    storage.Sync();
  }
  const StoredState state = DiskStorage(files, "d").TakeStoredState();
  REQUIRE(state.entries.size() == 2);
  CHECK(state.entries[1].term() == 5);
}

TEST_CASE("a last record cut at any byte is truncated") {
  InMemoryFileSystem original;
  const auto sizes = WriteThreeEntries(original);
  for (std::size_t size = sizes[2]; size < sizes[3]; ++size) {
    InMemoryFileSystem files = original;
    files.Truncate(kLogPath, size);
    INFO("cut at byte " << size << " of " << sizes[3]);
    CHECK(CountEntriesAfterStart(files) == 2);
    CHECK(CountEntriesAfterStart(files) == 2);
  }
}

TEST_CASE("a flipped bit in any earlier record stops the start") {
  InMemoryFileSystem original;
  const auto sizes = WriteThreeEntries(original);
  for (std::size_t at = 0; at < sizes[2]; ++at) {
    InMemoryFileSystem files = original;
    files.At(kLogPath).data[at] =
        static_cast<char>(files.At(kLogPath).data[at] ^ (1 << (at % 8)));
    INFO("flipped at byte " << at);
    CHECK_THROWS_AS(DiskStorage(files, "d"), support::Error);
  }
}

TEST_CASE("a flipped bit in the last record drops that record only") {
  InMemoryFileSystem original;
  const auto sizes = WriteThreeEntries(original);
  for (std::size_t at = sizes[2]; at < sizes[3]; ++at) {
    InMemoryFileSystem files = original;
    files.At(kLogPath).data[at] ^= 0x10;
    INFO("flipped at byte " << at);
    CHECK(CountEntriesAfterStart(files) == 2);
  }
}

TEST_CASE("after a start no earlier record counts as torn") {
  InMemoryFileSystem files;
  const auto sizes = WriteThreeEntries(files);
  CountEntriesAfterStart(files);
  files.At(kLogPath).data[sizes[3] - 1] ^= 1;
  CHECK_THROWS_WITH(DiskStorage(files, "d"),
                    Catch::Contains("damaged record at byte"));
}

TEST_CASE("a removed record in the middle is noticed") {
  InMemoryFileSystem files;
  const auto sizes = WriteThreeEntries(files);
  files.At(kLogPath).data.erase(sizes[1], sizes[2] - sizes[1]);
  CHECK_THROWS_WITH(DiskStorage(files, "d"), Catch::Contains("missing"));
}

TEST_CASE("a failed write or sync is reported and loses no synced entry") {
  const std::string failing = GENERATE("write", "sync");
  const std::string reason =
      GENERATE("No space left on device", "Input/output error");
  InMemoryFileSystem files;
  WriteThreeEntries(files);
  {
    DiskStorage storage(files, "d");
    storage.Append(Entry(4, 4));
    files.before_operation = [&](const std::string& operation,
                                 const std::string& path) {
      if (operation == failing)
        throw support::Error(operation + " file", "", path + ": " + reason);
    };
    CHECK_THROWS_WITH(storage.Sync(), Catch::Contains(reason));
  }
  files.before_operation = nullptr;
  std::mt19937_64 random(1);
  files.Crash(random);
  const std::size_t entries = CountEntriesAfterStart(files);
  CHECK((entries == 3 || entries == 4));
}

TEST_CASE("a snapshot interrupted at any operation loses nothing") {
  for (int failing = 0; failing < 8; ++failing) {
    for (unsigned seed = 0; seed < 8; ++seed) {
      InMemoryFileSystem files;
      WriteThreeEntries(files);
      wire::SnapshotFile snapshot;
      snapshot.mutable_meta()->set_index(2);
      snapshot.mutable_meta()->set_term(4);
      snapshot.set_data("state");
      {
        DiskStorage storage(files, "d");
        int operation = 0;
        files.before_operation = [&](const std::string&, const std::string&) {
          if (operation++ == failing)
            throw support::Error("crash", "", "injected");
        };
        try {
          storage.SaveSnapshot(snapshot, {Entry(3, 4)});
        } catch (const support::Error&) {
          // The injected crash.
        }
      }
      files.before_operation = nullptr;
      std::mt19937_64 random(seed);
      files.Crash(random);
      INFO("operation " << failing << ", seed " << seed);
      const StoredState state = DiskStorage(files, "d").TakeStoredState();
      REQUIRE(!state.entries.empty());
      CHECK(state.entries.back().index() == 3);
      CHECK((state.snapshot || state.entries.front().index() == 1));
    }
  }
}

TEST_CASE("a damaged or lone snapshot stops the start") {
  InMemoryFileSystem files;
  WriteThreeEntries(files);
  wire::SnapshotFile snapshot;
  snapshot.mutable_meta()->set_index(3);
  snapshot.set_data("state");
  DiskStorage(files, "d").SaveSnapshot(snapshot, {});
  InMemoryFileSystem damaged = files;
  damaged.At("d/snapshot").data.back() ^= 1;
  CHECK_THROWS_AS(DiskStorage(damaged, "d"), support::Error);
  files.Remove(kLogPath);
  CHECK_THROWS_WITH(DiskStorage(files, "d"), Catch::Contains("no log"));
}

TEST_CASE("on real files, a directory is locked and a copy is rejected") {
  const TemporaryDir dir;
  const std::string path = (dir.path() / "data").string();
  const std::string copy = (dir.path() / "copy").string();
  std::string identity;
  {
    PosixFileSystem files;
    DiskStorage storage(files, path);
    identity = storage.Identity();
    storage.Append(Entry(1, 1));
    storage.Sync();
    PosixFileSystem other;
    CHECK_THROWS_WITH(DiskStorage(other, path),
                      Catch::Contains("locked by another process"));
  }
  PosixFileSystem files;
  DiskStorage storage(files, path);
  CHECK(storage.Identity() == identity);
  CHECK(storage.TakeStoredState().entries.size() == 1);
  std::filesystem::copy(path, copy);
  PosixFileSystem copied;
  CHECK_THROWS_WITH(DiskStorage(copied, copy), Catch::Contains("is a copy"));
}

}  // namespace
}  // namespace yuccastair::consensus
