#ifndef DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_
#define DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_

#include <cstdint>      // for uint8_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::state {

// The largest document that is unpacked, in bytes.
inline constexpr size_t kMostDocumentBytes = 32 << 20;

// What tells the document to who holds `base`: about as many bytes as the two
// differ in. With an empty base, the document by itself, compressed. Throws
// Error(kInternal) when the library fails.
std::vector<uint8_t> PackDocument(std::string_view document,
                                  std::string_view base);

// The document again, given the same base. Throws Error(kBadFrame) on bytes
// that are damaged or were packed against another base, and on a document
// larger than kMostDocumentBytes.
std::string UnpackDocument(const std::vector<uint8_t>& packed,
                           std::string_view base);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_
