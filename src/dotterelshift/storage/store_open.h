#ifndef DOTTERELSHIFT_STORAGE_STORE_OPEN_H_
#define DOTTERELSHIFT_STORAGE_STORE_OPEN_H_

#include <algorithm>  // for sort
#include <cerrno>     // for EWOULDBLOCK
#include <random>     // for random_device

#include "dotterelshift/base/error.h"     // for Error
#include "dotterelshift/storage/store.h"  // for Store

namespace dotterelshift::storage {

template <FileSystem Files>
OpenedStore Store<Files>::Open() {
  Check(m_files.MakeFolder(m_options.folder), m_options.folder);
  LockFolder();
  const Listing listing = ListFolder();
  OpenedStore opened;
  LogRestorer restorer;
  replication::SnapshotMeta meta;
  opened.fresh = !listing.has_identity;
  if (opened.fresh) {
    // The identity is written last. A folder with an identity but without a log
    // has therefore lost its log.
    RemoveUnfinished(listing);
    StartSegment();
    MakeIdentity();
  } else {
    ReadIdentity();
    ReadSnapshot(listing, &meta, &opened.snapshot);
    ReadSegments(listing, &restorer);
  }
  bool discarded_entries = false;
  opened.log = restorer.Finish(m_options.folder, meta, &discarded_entries);
  opened.log.self = m_self;
  m_hard_state = opened.log.hard_state;
  if (discarded_entries)
    m_reset = std::make_unique<replication::SnapshotMeta>(opened.log.snapshot);
  ReadSpool(&opened.spool);
  return opened;
}

template <FileSystem Files>
void Store<Files>::LockFolder() {
  OpenFileAt(Path("lock"), &m_lock);
  const int error = m_files.Lock(m_lock.descriptor);
  if (error == EWOULDBLOCK)
    throw Error(ErrorKind::kStorageFailed,
                m_options.folder + " is in use by another process");
  Check(error, m_lock.path);
}

template <FileSystem Files>
typename Store<Files>::Listing Store<Files>::ListFolder() {
  std::vector<std::string> names;
  Check(m_files.List(m_options.folder, &names), m_options.folder);
  std::sort(names.begin(), names.end());
  Listing listing;
  for (const std::string& name : names) {
    if (name.starts_with("new-"))
      Check(m_files.Remove(Path(name)), Path(name));
    else if (name.starts_with("log-"))
      listing.segments.push_back(name);
    else if (name.starts_with("snapshot-"))
      listing.snapshots.push_back(name);
    listing.has_identity = listing.has_identity || name == "identity";
  }
  return listing;
}

// Removes the segment of an interrupted initialization. Without an identity
// there can be at most one segment, which contains only its initial block.
template <FileSystem Files>
void Store<Files>::RemoveUnfinished(const Listing& listing) {
  const bool more = !listing.snapshots.empty() || listing.segments.size() > 1;
  for (const std::string& name : listing.segments) {
    const std::string path = Path(name);
    const std::string content = ReadFile(path);
    const bool written =
        content.size() > kFileHeaderBytes &&
        ReadBlocks(path, content, Tail::kMayBeTorn).blocks.size() > 1;
    if (more || written) break;
    return Check(m_files.Remove(path), path);
  }
  if (more || !listing.segments.empty())
    ThrowDamaged(
        m_options.folder, 0,
        "log or snapshot files exist, but the identity file is missing");
}

template <FileSystem Files>
std::string Store<Files>::ReadFile(const std::string& path) {
  std::string content;
  Check(m_files.Read(path, &content), path);
  return content;
}

template <FileSystem Files>
void Store<Files>::MakeIdentity() {
  std::random_device random;
  // 53 bits, because operators' tools may read it as a JSON number.
  constexpr int kUnusedBits = 64 - 53;
  while (m_self == 0)
    m_self = (static_cast<uint64_t>(random()) << 32 | random()) >> kUnusedBits;
  WriteWholeFile("identity", EncodeFileHeader(FileKind::kIdentity) +
                                 EncodeBlock(1, EncodeIdentity(m_self)));
}

template <FileSystem Files>
void Store<Files>::ReadIdentity() {
  const std::string path = Path("identity");
  const std::string content = ReadFile(path);
  CheckFileHeader(path, content, FileKind::kIdentity);
  const Blocks blocks = ReadBlocks(path, content, Tail::kWhole);
  if (blocks.blocks.size() != 1)
    ThrowDamaged(path, kFileHeaderBytes, "the identity record is missing");
  m_self = DecodeIdentity(path, blocks.blocks.front());
}

// Reads the newest snapshot and removes older ones that a crash left behind.
template <FileSystem Files>
void Store<Files>::ReadSnapshot(const Listing& listing,
                                replication::SnapshotMeta* meta,
                                std::string* bytes) {
  if (listing.snapshots.empty()) return;
  const std::string path = Path(listing.snapshots.back());
  const std::string content = ReadFile(path);
  CheckFileHeader(path, content, FileKind::kSnapshot);
  const Blocks blocks = ReadBlocks(path, content, Tail::kWhole);
  if (blocks.blocks.size() != 2)
    ThrowDamaged(path, kFileHeaderBytes, "the snapshot is incomplete");
  *meta = DecodeSnapshotMeta(path, blocks.blocks[0]);
  *bytes = std::string(blocks.blocks[1].payload);
  m_has_snapshot = true;
  m_snapshot_index = meta->last_index;
  for (const std::string& name : listing.snapshots)
    if (name != listing.snapshots.back())
      Check(m_files.Remove(Path(name)), Path(name));
}

template <FileSystem Files>
void Store<Files>::ReadSegments(const Listing& listing, LogRestorer* restorer) {
  if (listing.segments.empty())
    ThrowDamaged(m_options.folder, 0,
                 "the identity file exists, but all log files are missing");
  for (const std::string& name : listing.segments) {
    const std::string path = Path(name);
    const bool last = name == listing.segments.back();
    const std::string content = ReadFile(path);
    // A crash may have interrupted the first write to the last segment.
    const bool incomplete =
        last && m_segments.size() > 0 && content.size() < kFileHeaderBytes;
    if (incomplete) {
      Check(m_files.Remove(path), path);
      continue;
    }
    CheckFileHeader(path, content, FileKind::kLog);
    const Blocks blocks =
        ReadBlocks(path, content, last ? Tail::kMayBeTorn : Tail::kWhole);
    restorer->Add(path, blocks);
    m_segments.push_back({path, blocks.valid_bytes, restorer->LargestIndex()});
  }
  m_next_block = std::max<uint64_t>(1, restorer->NextSequence());
  OpenFileAt(m_segments.back().path, &m_segment);
  m_segment.bytes = m_segments.back().bytes;
  Check(m_files.Truncate(m_segment.descriptor, m_segment.bytes),
        m_segment.path);
  Check(m_files.Sync(m_segment.descriptor), m_segment.path);
}

template <FileSystem Files>
void Store<Files>::ReadSpool(std::vector<std::string>* records) {
  const std::string path = Path("spool");
  OpenFileAt(path, &m_spool);
  const std::string content = ReadFile(path);
  if (content.size() < kFileHeaderBytes) {
    Check(m_files.Truncate(m_spool.descriptor, 0), path);
    AppendAndSync(&m_spool, EncodeFileHeader(FileKind::kSpool));
    return Check(m_files.SyncFolder(m_options.folder), m_options.folder);
  }
  CheckFileHeader(path, content, FileKind::kSpool);
  const Blocks blocks = ReadBlocks(path, content, Tail::kMayBeTorn);
  for (const Block& block : blocks.blocks) {
    records->emplace_back(block.payload);
    m_next_spool_block = block.sequence + 1;
  }
  m_spool.bytes = blocks.valid_bytes;
  Check(m_files.Truncate(m_spool.descriptor, m_spool.bytes), path);
}

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_STORE_OPEN_H_
