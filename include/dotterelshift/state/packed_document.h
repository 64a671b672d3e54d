#ifndef DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_
#define DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_

#include <cstdint>      // for uint8_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace dotterelshift::state {

// Size limit of an unpacked document, in bytes.
inline constexpr size_t kMaxDocumentBytes = 32 << 20;

// Encodes the document as a compressed delta against `base`, which is about as
// large as their difference. With an empty base the document is compressed by
// itself. Throws Error(kInternal) if the compression library fails.
std::vector<uint8_t> PackDocument(std::string_view document,
                                  std::string_view base);

// Decodes the result of PackDocument(), given the same base. Throws
// Error(kBadFrame) if the bytes are damaged or were packed against another
// base, or if the document is larger than kMaxDocumentBytes bytes.
std::string UnpackDocument(const std::vector<uint8_t>& packed,
                           std::string_view base);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_PACKED_DOCUMENT_H_
