#ifndef DOTTERELSHIFT_BASE_TEMPORARY_FOLDER_H_
#define DOTTERELSHIFT_BASE_TEMPORARY_FOLDER_H_

#include <cerrno>        // for errno
#include <cstdlib>       // for mkdtemp
#include <filesystem>    // for remove_all
#include <string>        // for string
#include <system_error>  // for system_error

namespace dotterelshift {

// A temporary folder for a test, benchmark or soak run. The destructor removes
// it with its contents.
class TemporaryFolder {
 public:
  // Throws system_error when the folder cannot be created.
  TemporaryFolder()
      : m_path((std::filesystem::temp_directory_path() / "dotterelshift-XXXXXX")
                   .string()) {
    if (mkdtemp(m_path.data()) == nullptr)
      throw std::system_error(errno, std::generic_category(), m_path);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return m_path; }
  std::string File(const std::string& name) const {
    return m_path + "/" + name;
  }

 private:
  std::string m_path;
};

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_TEMPORARY_FOLDER_H_
