#ifndef DOTTERELSHIFT_SRC_STATE_ROUTES_DOCUMENT_TESTING_H_
#define DOTTERELSHIFT_SRC_STATE_ROUTES_DOCUMENT_TESTING_H_

// Generates routes documents of the size and shape of an operator's, for tests
// and benchmarks only.

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <random>    // for minstd_rand
#include <string>    // for string

namespace dotterelshift::state {

struct RoutesDocumentOptions {
  uint64_t version = 1;
  size_t routes = 1'400;
  std::optional<size_t> changed;  // index of a route that each version changes
};

// A document of about 230 bytes per route. The names are the same in all
// versions.
inline std::string RoutesDocument(const RoutesDocumentOptions& options) {
  std::minstd_rand random;
  const auto word = [&random] {
    constexpr size_t kLetters = 8;
    std::string letters;
    while (letters.size() < kLetters)
      letters += static_cast<char>('a' + random() % 26);
    return letters;
  };
  std::string document =
      "{\"version\":" + std::to_string(options.version) + ",\"routes\":[";
  for (size_t i = 0; i < options.routes; ++i) {
    const uint64_t timeout_ms =
        options.changed == i ? 4000 + options.version : 4000;
    document += i == 0 ? "" : ",";
    document += R"({"name":"r-)" + word() + R"(","host":")" + word() +
                R"(.example","path_prefix":"/)" + word() +
                R"(/","type":"streaming","timeout_ms":)" +
                std::to_string(timeout_ms) +
                R"(,"slo_ms":600,"priority":0,"service":"s","attempts":2,)"
                R"("public":false,"sticky":true,"resumable":true})";
  }
  return document +
         R"(],"services":[{"name":"s","max_conns":290}],"tenants":[]})";
}

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_SRC_STATE_ROUTES_DOCUMENT_TESTING_H_
