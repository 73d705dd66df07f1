// Keeps the entries and the configurations among them consistent.

#include "entry_log.h"

#include <algorithm>
#include <cassert>

namespace yuccastair::consensus {

std::optional<std::uint64_t> EntryLog::TermAt(std::uint64_t index) const {
  if (index == base_index_)
    return base_term_;
  if (index < base_index_ || index > last_index())
    return std::nullopt;
  return EntryAt(index).term();
}

std::uint64_t EntryLog::LastIndexBeyond(std::uint64_t index,
                                        std::uint64_t max_entries,
                                        std::size_t max_bytes) const {
  const std::uint64_t oldest_kept = index - std::min(index, max_entries) + 1;
  std::size_t bytes = 0;
  while (index >= std::max(oldest_kept, first_index())) {
    bytes += EntryAt(index).payload().size();
    if (bytes > max_bytes)
      break;
    --index;
  }
  return index;
}

void EntryLog::Append(wire::LogEntry entry) {
  assert(entry.index() == last_index() + 1 && "entries must be consecutive");
  if (entry.kind() == wire::ENTRY_KIND_CONFIG) {
    wire::ConsensusConfig config;
    config.ParseFromString(entry.payload());
    configs_.emplace_back(entry.index(), std::move(config));
  }
  entries_.push_back(std::move(entry));
}

void EntryLog::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty())
    entries_.pop_back();
  while (configs_.size() > 1 && configs_.back().first >= index)
    configs_.pop_back();
}

void EntryLog::DropThrough(std::uint64_t index) {
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term();
    ++base_index_;
    entries_.pop_front();
  }
  while (configs_.size() > 1 && configs_[1].first <= base_index_)
    configs_.pop_front();
}

void EntryLog::Reset(const wire::SnapshotMeta& meta) {
  entries_.clear();
  base_index_ = meta.index();
  base_term_ = meta.term();
  configs_.assign(1, {meta.index(), meta.config()});
}

std::vector<wire::LogEntry> EntryLog::EntriesFrom(std::uint64_t index) const {
  std::vector<wire::LogEntry> entries;
  for (std::uint64_t i = std::max(index, first_index()); i <= last_index(); ++i)
    entries.push_back(EntryAt(i));
  return entries;
}

const wire::ConsensusConfig& EntryLog::ConfigAt(std::uint64_t index) const {
  auto found = configs_.rbegin();
  while (found->first > index && std::next(found) != configs_.rend())
    ++found;
  return found->second;
}

}  // namespace yuccastair::consensus
