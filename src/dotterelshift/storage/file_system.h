#ifndef DOTTERELSHIFT_STORAGE_FILE_SYSTEM_H_
#define DOTTERELSHIFT_STORAGE_FILE_SYSTEM_H_

#include <concepts>     // for same_as
#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::storage {

// The file operations that the store needs. Each returns 0 or an errno value. A
// write is incomplete only if it returns an error. Tests inject failures with
// their own type.
template <typename F>
concept FileSystem = requires(F& files, const std::string& path, int descriptor,
                              std::string_view bytes, uint64_t size,
                              int* opened, std::string* content,
                              std::vector<std::string>* names) {
  { files.MakeFolder(path) } -> std::same_as<int>;
  { files.OpenForAppend(path, opened) } -> std::same_as<int>;
  { files.Append(descriptor, bytes) } -> std::same_as<int>;
  { files.Sync(descriptor) } -> std::same_as<int>;
  { files.Truncate(descriptor, size) } -> std::same_as<int>;
  { files.Lock(descriptor) } -> std::same_as<int>;
  files.Close(descriptor);
  { files.Read(path, content) } -> std::same_as<int>;
  { files.List(path, names) } -> std::same_as<int>;
  { files.Rename(path, path) } -> std::same_as<int>;
  { files.Remove(path) } -> std::same_as<int>;
  { files.SyncFolder(path) } -> std::same_as<int>;
};

// File operations of the operating system.
class PosixFileSystem {
 public:
  // Succeeds if the folder already exists.
  int MakeFolder(const std::string& path);
  int OpenForAppend(const std::string& path, int* opened);
  int Append(int descriptor, std::string_view bytes);
  int Sync(int descriptor);
  int Truncate(int descriptor, uint64_t size);
  // Returns EWOULDBLOCK if another process holds the lock.
  int Lock(int descriptor);
  void Close(int descriptor);
  int Read(const std::string& path, std::string* content);
  int List(const std::string& path, std::vector<std::string>* names);
  int Rename(const std::string& from, const std::string& to);
  int Remove(const std::string& path);
  int SyncFolder(const std::string& path);
};

static_assert(FileSystem<PosixFileSystem>);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_FILE_SYSTEM_H_
