#ifndef DOTTERELSHIFT_SRC_STORAGE_FAULTY_FILES_TESTING_H_
#define DOTTERELSHIFT_SRC_STORAGE_FAULTY_FILES_TESTING_H_

#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/base/error.h"           // for Error
#include "dotterelshift/storage/file_system.h"  // for PosixFileSystem

namespace dotterelshift::storage {

enum class Operation { kMakeFolder, kOpen, kAppend, kSync, kTruncate, kRename };

// Which file operation fails, when and with which error.
struct Fault {
  Operation operation = Operation::kAppend;
  int error = 0;
  int after = 0;           // number of calls that succeed first
  bool persistent = true;  // all later calls fail too
};

// Real file operations with one injected fault. A failing append writes half of
// its bytes.
class FaultyFiles : public PosixFileSystem {
 public:
  explicit FaultyFiles(Fault* fault) : m_fault(fault) {}
  int MakeFolder(const std::string& path) {
    const int error = Next(Operation::kMakeFolder);
    return error != 0 ? error : PosixFileSystem::MakeFolder(path);
  }
  int OpenForAppend(const std::string& path, int* opened) {
    const int error = Next(Operation::kOpen);
    return error != 0 ? error : PosixFileSystem::OpenForAppend(path, opened);
  }
  int Append(int descriptor, std::string_view bytes) {
    const int error = Next(Operation::kAppend);
    if (error != 0) bytes = bytes.substr(0, bytes.size() / 2);
    const int real = PosixFileSystem::Append(descriptor, bytes);
    return error != 0 ? error : real;
  }
  int Sync(int descriptor) {
    const int error = Next(Operation::kSync);
    return error != 0 ? error : PosixFileSystem::Sync(descriptor);
  }
  int Truncate(int descriptor, uint64_t size) {
    const int error = Next(Operation::kTruncate);
    return error != 0 ? error : PosixFileSystem::Truncate(descriptor, size);
  }
  int Rename(const std::string& from, const std::string& to) {
    const int error = Next(Operation::kRename);
    return error != 0 ? error : PosixFileSystem::Rename(from, to);
  }

 private:
  int Next(Operation operation) {
    if (m_fault->error == 0 || operation != m_fault->operation) return 0;
    if (m_fault->after-- > 0) return 0;
    const int error = m_fault->error;
    if (!m_fault->persistent) m_fault->error = 0;
    return error;
  }
  Fault* m_fault;
};

// The kind of the error that the action throws; kNone: it throws none.
inline ErrorKind KindOf(const std::function<void()>& action) {
  try {
    action();
  } catch (const Error& error) {
    return error.Kind();
  }
  return ErrorKind::kNone;
}

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_SRC_STORAGE_FAULTY_FILES_TESTING_H_
