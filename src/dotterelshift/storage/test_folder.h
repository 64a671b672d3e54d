#ifndef DOTTERELSHIFT_STORAGE_TEST_FOLDER_H_
#define DOTTERELSHIFT_STORAGE_TEST_FOLDER_H_

#include <cstdlib>     // for mkdtemp
#include <filesystem>  // for remove_all
#include <string>      // for string

namespace dotterelshift::storage {

// A folder of a test or benchmark, removed with all it holds.
class TestFolder {
 public:
  TestFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "dotterelshift-XXXXXX")
            .string();
    m_path = mkdtemp(pattern.data());
  }
  ~TestFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_TEST_FOLDER_H_
