#ifndef DOTTERELSHIFT_SRC_STORAGE_DEPARTURE_FILE_H_
#define DOTTERELSHIFT_SRC_STORAGE_DEPARTURE_FILE_H_

#include <cerrno>       // for ENOENT
#include <cstdint>      // for uint64_t
#include <cstring>      // for memcpy, strerror
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move
#include <vector>       // for vector

#include "dotterelshift/base/error.h"               // for Error
#include "dotterelshift/storage/departure_store.h"  // for DepartureStore
#include "dotterelshift/storage/file_system.h"      // for FileSystem
#include "dotterelshift/storage/format.h"           // for EncodeBlock

namespace dotterelshift::storage {

// Encode and decode the payload of a block: the records of one sync.
std::string EncodeDepartures(const std::vector<StoredDeparture>& departures);
// Throws Error(kStorageDamaged) with the file and the block's offset.
std::vector<StoredDeparture> DecodeDepartures(const std::string& file,
                                              const Block& block);

template <FileSystem Files>
class DepartureFile : public DepartureStore {
 public:
  DepartureFile(Files& files, DepartureStoreOptions options)
      : m_files(files), m_options(std::move(options)) {}
  ~DepartureFile() override { Close(); }
  DepartureFile(const DepartureFile&) = delete;
  DepartureFile& operator=(const DepartureFile&) = delete;

  std::vector<StoredDeparture> Open(WallMs now) {
    Check(m_files.MakeFolder(m_options.folder), m_options.folder);
    std::string content;
    const int error = m_files.Read(Path(), &content);
    if (error == ENOENT) return {};
    Check(error, Path());
    // A power loss may have left a file without its header.
    if (content.size() < kFileHeaderBytes) {
      Check(m_files.Remove(Path()), Path());
      return {};
    }
    CheckFileHeader(Path(), content, FileKind::kDepartures);
    const Blocks blocks = ReadBlocks(Path(), content, Tail::kMayBeTorn);
    for (const Block& block : blocks.blocks) {
      m_next_block = block.sequence + 1;
      for (StoredDeparture& departure : DecodeDepartures(Path(), block))
        m_kept.push_back(std::move(departure));
    }
    DropPassed(now);
    Check(m_files.OpenForAppend(Path(), &m_descriptor), Path());
    m_bytes = blocks.valid_bytes;
    Check(m_files.Truncate(m_descriptor, m_bytes), Path());
    return m_kept;
  }

  void Append(const std::vector<std::string>& records, WallMs now) override {
    CheckUsable();
    std::vector<StoredDeparture> added;
    for (const std::string& record : records) added.push_back({now, record});
    DropPassed(now);
    if (m_descriptor < 0 || m_bytes > m_options.max_bytes) Rewrite();
    AppendAndSync(EncodeBlock(m_next_block, EncodeDepartures(added)));
    ++m_next_block;
    for (StoredDeparture& departure : added)
      m_kept.push_back(std::move(departure));
  }

 private:
  std::string Path() const { return m_options.folder + "/departures"; }

  void DropPassed(WallMs now) {
    std::erase_if(m_kept, [&](const StoredDeparture& departure) {
      return now - departure.stored_at >= ToMs(m_options.keep);
    });
  }

  // Replaces the file by one with the records that are kept.
  void Rewrite() {
    const std::string path = m_options.folder + "/new-departures";
    std::string content = EncodeFileHeader(FileKind::kDepartures);
    uint64_t next_block = 1;
    if (!m_kept.empty())
      content += EncodeBlock(next_block++, EncodeDepartures(m_kept));
    int descriptor = kNotOpen;
    Check(m_files.OpenForAppend(path, &descriptor), path);
    int error = m_files.Truncate(descriptor, 0);
    if (error == 0) error = m_files.Append(descriptor, content);
    if (error == 0) error = m_files.Sync(descriptor);
    if (error == 0) error = m_files.Rename(path, Path());
    if (error == 0) error = m_files.SyncFolder(m_options.folder);
    if (error != 0) {
      m_files.Close(descriptor);
      m_files.Remove(path);  // frees its space
      Check(error, path);
    }
    Close();
    m_descriptor = descriptor;
    m_bytes = content.size();
    m_next_block = next_block;
  }

  void AppendAndSync(std::string_view bytes) {
    const int error = m_files.Append(m_descriptor, bytes);
    if (error != 0) {
      // Remove the partial write, so that it does not precede the next block.
      if (m_files.Truncate(m_descriptor, m_bytes) != 0) Fail(error);
      Check(error, Path());
    }
    // After a failed sync, the contents of the disk are unknown.
    const int sync_error = m_files.Sync(m_descriptor);
    if (sync_error != 0) Fail(sync_error);
    m_bytes += bytes.size();
  }

  void Close() {
    if (m_descriptor != kNotOpen) m_files.Close(m_descriptor);
    m_descriptor = kNotOpen;
  }

  static void Check(int error, const std::string& path) {
    if (error == 0) return;
    const bool full = error == ENOSPC || error == EDQUOT;
    throw Error(full ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed,
                path + ": " + std::strerror(error));
  }

  void Fail(int error) {
    m_failed = Path() + ": " + std::strerror(error);
    throw Error(ErrorKind::kStorageFailed, m_failed);
  }

  void CheckUsable() const {
    if (!m_failed.empty()) throw Error(ErrorKind::kStorageFailed, m_failed);
  }

  static constexpr int kNotOpen = -1;

  Files& m_files;
  const DepartureStoreOptions m_options;
  int m_descriptor = kNotOpen;
  uint64_t m_bytes = 0;
  uint64_t m_next_block = 1;
  std::vector<StoredDeparture> m_kept;
  std::string m_failed;  // the error after which the file is not used
};

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_SRC_STORAGE_DEPARTURE_FILE_H_
