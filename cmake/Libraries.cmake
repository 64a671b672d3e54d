# Interface target for all third-party libraries, which come from Debian packages.
find_package(PkgConfig REQUIRED)
find_package(Boost REQUIRED COMPONENTS log)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED COMPONENTS core)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(SIMDJSON REQUIRED IMPORTED_TARGET simdjson)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(DOTTERELSHIFT_TESTS)
  pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
endif()

add_library(libraries INTERFACE)
target_link_libraries(libraries INTERFACE
  Boost::log yaml-cpp nlohmann_json::nlohmann_json prometheus-cpp::core
  PkgConfig::CURL PkgConfig::SODIUM PkgConfig::XXHASH PkgConfig::ZSTD
  PkgConfig::SIMDJSON
  ev flatbuffers)
