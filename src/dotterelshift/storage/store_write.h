#ifndef DOTTERELSHIFT_STORAGE_STORE_WRITE_H_
#define DOTTERELSHIFT_STORAGE_STORE_WRITE_H_

#include <algorithm>  // for sort
#include <cerrno>     // for ENOSPC
#include <cstdio>     // for snprintf
#include <cstring>    // for strerror

#include "dotterelshift/base/error.h"     // for Error
#include "dotterelshift/storage/store.h"  // for Store

namespace dotterelshift::storage {

template <FileSystem Files>
Store<Files>::~Store() {
  CloseFile(&m_segment);
  CloseFile(&m_spool);
  CloseFile(&m_lock);
}

template <FileSystem Files>
void Store<Files>::Write(const replication::Ready& ready) {
  CheckUsable();
  if (!ready.HasWrites()) return;
  const replication::HardState hard_state =
      ready.hard_state.value_or(m_hard_state);
  if (ready.install.has_value()) {
    const auto& [meta, bytes] = *ready.install;
    WriteSnapshotFile(meta, bytes);
    m_reset = std::make_unique<replication::SnapshotMeta>(meta);
  }
  if (m_segment.bytes >= m_options.segment_bytes) StartSegment();
  AppendAndSync(
      &m_segment,
      EncodeBlock(m_next_block, EncodeWrite(hard_state, ready, m_reset.get())));
  ++m_next_block;
  m_hard_state = hard_state;
  m_reset.reset();
  m_segments.back().bytes = m_segment.bytes;
  if (!ready.append.empty())
    m_segments.back().largest_index = ready.append.back().index;
  if (ready.install.has_value()) RemoveBefore(ready.install->first.last_index);
}

template <FileSystem Files>
void Store<Files>::SaveSnapshot(const replication::SnapshotMeta& meta,
                                const std::string& bytes) {
  CheckUsable();
  WriteSnapshotFile(meta, bytes);
  // Start a new segment, so that the next snapshot can remove the earlier ones.
  StartSegment();
  RemoveBefore(meta.last_index);
}

template <FileSystem Files>
void Store<Files>::AppendSpool(const std::string& record) {
  CheckUsable();
  AppendAndSync(&m_spool, EncodeBlock(m_next_spool_block, record));
  ++m_next_spool_block;
}

template <FileSystem Files>
void Store<Files>::ClearSpool() {
  CheckUsable();
  Check(m_files.Truncate(m_spool.descriptor, kFileHeaderBytes), m_spool.path);
  m_spool.bytes = kFileHeaderBytes;
}

template <FileSystem Files>
uint64_t Store<Files>::LogBytes() const {
  uint64_t bytes = 0;
  for (const Segment& segment : m_segments) bytes += segment.bytes;
  return bytes;
}

template <FileSystem Files>
std::string Store<Files>::Path(const std::string& name) const {
  return m_options.folder + "/" + name;
}

template <FileSystem Files>
void Store<Files>::OpenFileAt(const std::string& path, OpenFile* file) {
  CloseFile(file);
  file->path = path;
  file->bytes = 0;
  Check(m_files.OpenForAppend(path, &file->descriptor), path);
}

template <FileSystem Files>
void Store<Files>::CloseFile(OpenFile* file) {
  if (file->descriptor != kNotOpen) m_files.Close(file->descriptor);
  file->descriptor = kNotOpen;
}

template <FileSystem Files>
void Store<Files>::AppendAndSync(OpenFile* file, std::string_view bytes) {
  const int error = m_files.Append(file->descriptor, bytes);
  if (error != 0) {
    // Remove the partial write, so that it does not precede the next block.
    if (m_files.Truncate(file->descriptor, file->bytes) != 0)
      Fail(error, file->path);
    Check(error, file->path);
  }
  const int sync_error = m_files.Sync(file->descriptor);
  // After a failed sync, the contents of the disk are unknown, and a later
  // successful sync would not prove that the data was written.
  if (sync_error != 0) Fail(sync_error, file->path);
  file->bytes += bytes.size();
}

template <FileSystem Files>
void Store<Files>::WriteWholeFile(const std::string& name,
                                  std::string_view content) {
  const std::string path = Path("new-" + name);
  OpenFile file;
  OpenFileAt(path, &file);
  try {
    Check(m_files.Truncate(file.descriptor, 0), path);
    AppendAndSync(&file, content);
  } catch (const Error&) {
    CloseFile(&file);
    m_files.Remove(path);  // free its space
    throw;
  }
  CloseFile(&file);
  Check(m_files.Rename(path, Path(name)), path);
  Check(m_files.SyncFolder(m_options.folder), m_options.folder);
}

template <FileSystem Files>
void Store<Files>::StartSegment() {
  constexpr size_t kNameBytes = 32;
  char name[kNameBytes];
  std::snprintf(name, sizeof(name), "log-%020llu",
                static_cast<unsigned long long>(m_next_block));
  OpenFile next;
  OpenFileAt(Path(name), &next);
  try {
    Check(m_files.Truncate(next.descriptor, 0), next.path);
    AppendAndSync(
        &next,
        EncodeFileHeader(FileKind::kLog) +
            EncodeBlock(m_next_block, EncodeWrite(m_hard_state, {}, nullptr)));
    Check(m_files.SyncFolder(m_options.folder), m_options.folder);
  } catch (const Error&) {
    CloseFile(&next);
    // The previous segment stays in use and must be the last one in the folder.
    if (m_files.Remove(next.path) != 0) Fail(EIO, next.path);
    throw;
  }
  ++m_next_block;
  CloseFile(&m_segment);
  m_segment = next;
  m_segments.push_back({next.path, next.bytes, 0});
}

template <FileSystem Files>
void Store<Files>::WriteSnapshotFile(const replication::SnapshotMeta& meta,
                                     const std::string& bytes) {
  constexpr size_t kNameBytes = 40;
  char name[kNameBytes];
  std::snprintf(name, sizeof(name), "snapshot-%020llu",
                static_cast<unsigned long long>(meta.last_index));
  std::string content = EncodeFileHeader(FileKind::kSnapshot);
  content += EncodeBlock(1, EncodeSnapshotMeta(meta));
  content += EncodeBlock(2, bytes);
  WriteWholeFile(name, content);
}

// Removes the older snapshots, and the segments whose entries the snapshot
// covers.
template <FileSystem Files>
void Store<Files>::RemoveBefore(uint64_t snapshot_index) {
  const bool replaced = m_has_snapshot && m_snapshot_index < snapshot_index;
  std::vector<std::string> names;
  if (replaced) Check(m_files.List(m_options.folder, &names), m_options.folder);
  std::sort(names.begin(), names.end());
  std::erase_if(names, [](const std::string& name) {
    return !name.starts_with("snapshot-");
  });
  if (!names.empty()) names.pop_back();
  for (const std::string& name : names)
    Check(m_files.Remove(Path(name)), Path(name));
  m_has_snapshot = true;
  m_snapshot_index = snapshot_index;
  while (m_segments.size() > 1 &&
         m_segments.front().largest_index <= snapshot_index) {
    Check(m_files.Remove(m_segments.front().path), m_segments.front().path);
    m_segments.pop_front();
  }
}

template <FileSystem Files>
void Store<Files>::Check(int error, const std::string& path) {
  if (error == 0) return;
  const bool full = error == ENOSPC || error == EDQUOT;
  throw Error(full ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed,
              path + ": " + std::strerror(error));
}

template <FileSystem Files>
void Store<Files>::Fail(int error, const std::string& path) {
  m_failed = path + ": " + std::strerror(error);
  throw Error(ErrorKind::kStorageFailed, m_failed);
}

template <FileSystem Files>
void Store<Files>::CheckUsable() const {
  if (!m_failed.empty())
    throw Error(
        ErrorKind::kStorageFailed,
        "the log store is disabled after an earlier failure: " + m_failed);
}

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_STORE_WRITE_H_
