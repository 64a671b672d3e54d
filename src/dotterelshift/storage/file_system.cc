#include "dotterelshift/storage/file_system.h"

#include <dirent.h>    // for opendir
#include <fcntl.h>     // for open
#include <sys/file.h>  // for flock
#include <sys/stat.h>  // for mkdir
#include <unistd.h>    // for write, fdatasync

#include <cerrno>  // for errno
#include <cstdio>  // for rename

namespace dotterelshift::storage {

namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;

int ResultOf(int returned) { return returned < 0 ? errno : 0; }

}  // namespace

int PosixFileSystem::MakeFolder(const std::string& path) {
  const int error = ResultOf(mkdir(path.c_str(), kFolderMode));
  return error == EEXIST ? 0 : error;
}

int PosixFileSystem::OpenForAppend(const std::string& path, int* opened) {
  *opened =
      open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  return ResultOf(*opened);
}

int PosixFileSystem::Append(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return errno;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return 0;
}

int PosixFileSystem::Sync(int descriptor) {
  return ResultOf(fdatasync(descriptor));
}

int PosixFileSystem::Truncate(int descriptor, uint64_t size) {
  return ResultOf(ftruncate(descriptor, static_cast<off_t>(size)));
}

int PosixFileSystem::Lock(int descriptor) {
  return ResultOf(flock(descriptor, LOCK_EX | LOCK_NB));
}

void PosixFileSystem::Close(int descriptor) { close(descriptor); }

int PosixFileSystem::Read(const std::string& path, std::string* content) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return errno;
  struct stat status {};
  int error = ResultOf(fstat(descriptor, &status));
  content->resize(error == 0 ? static_cast<size_t>(status.st_size) : 0);
  size_t done = 0;
  while (error == 0 && done < content->size()) {
    const ssize_t count =
        read(descriptor, content->data() + done, content->size() - done);
    if (count < 0 && errno == EINTR) continue;
    error = ResultOf(static_cast<int>(count < 0 ? -1 : 0));
    if (count <= 0) break;
    done += static_cast<size_t>(count);
  }
  content->resize(done);
  close(descriptor);
  return error;
}

int PosixFileSystem::List(const std::string& path,
                          std::vector<std::string>* names) {
  DIR* folder = opendir(path.c_str());
  if (folder == nullptr) return errno;
  // Only one thread calls this, so readdir's shared buffer is safe.
  while (const dirent* entry =
             readdir(folder))  // NOLINT(concurrency-mt-unsafe)
    names->emplace_back(entry->d_name);
  closedir(folder);
  return 0;
}

int PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  return ResultOf(std::rename(from.c_str(), to.c_str()));
}

int PosixFileSystem::Remove(const std::string& path) {
  return ResultOf(unlink(path.c_str()));
}

int PosixFileSystem::SyncFolder(const std::string& path) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return errno;
  const int error = ResultOf(fsync(descriptor));
  close(descriptor);
  return error;
}

}  // namespace dotterelshift::storage
