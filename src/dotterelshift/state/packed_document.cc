#include "dotterelshift/state/packed_document.h"

#include <xxhash.h>  // for XXH64
#include <zstd.h>    // for ZSTD_compress2

#include <algorithm>  // for clamp
#include <bit>        // for bit_width
#include <cstring>    // for memcpy
#include <memory>     // for unique_ptr

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::state {
namespace {

// Fast, yet finds the unchanged text in documents of several megabytes.
constexpr int kCompressionLevel = 3;

// Bounds of the window size in zstd, as powers of two of bytes.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

// A packed document starts with a hash of its base. Without it, a wrong base
// would go unnoticed if the delta copies none of the bytes that differ.
using BaseHash = XXH64_hash_t;

struct CompressorDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct DecompressorDeleter {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

BaseHash HashOf(std::string_view base) {
  return XXH64(base.data(), base.size(), 0);
}

size_t Checked(size_t result, ErrorKind kind) {
  if (ZSTD_isError(result) != 0) throw Error(kind, ZSTD_getErrorName(result));
  return result;
}

// A window that covers both the base and the document, so that matches are
// found anywhere in them.
int WindowLogFor(size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

}  // namespace

std::vector<uint8_t> PackDocument(std::string_view document,
                                  std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, CompressorDeleter> context(
      ZSTD_createCCtx());
  const auto set = [&](ZSTD_cParameter parameter, int value) {
    Checked(ZSTD_CCtx_setParameter(context.get(), parameter, value),
            ErrorKind::kInternal);
  };
  set(ZSTD_c_compressionLevel, kCompressionLevel);
  set(ZSTD_c_windowLog, WindowLogFor(document.size() + base.size()));
  set(ZSTD_c_checksumFlag, 1);
  Checked(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()),
          ErrorKind::kInternal);
  const BaseHash hash = HashOf(base);
  std::vector<uint8_t> packed(sizeof hash +
                              ZSTD_compressBound(document.size()));
  std::memcpy(packed.data(), &hash, sizeof hash);
  const size_t size =
      Checked(ZSTD_compress2(context.get(), packed.data() + sizeof hash,
                             packed.size() - sizeof hash, document.data(),
                             document.size()),
              ErrorKind::kInternal);
  packed.resize(sizeof hash + size);
  packed.shrink_to_fit();
  return packed;
}

std::string UnpackDocument(const std::vector<uint8_t>& packed,
                           std::string_view base) {
  BaseHash hash = 0;
  if (packed.size() < sizeof hash)
    throw Error(ErrorKind::kBadFrame, "packed document is too short");
  std::memcpy(&hash, packed.data(), sizeof hash);
  if (hash != HashOf(base))
    throw Error(ErrorKind::kBadFrame, "packed against another document");
  const uint8_t* frame = packed.data() + sizeof hash;
  const size_t frame_bytes = packed.size() - sizeof hash;
  const auto size = ZSTD_getFrameContentSize(frame, frame_bytes);
  if (size > kMaxDocumentBytes)  // also true if unknown, or not a frame
    throw Error(ErrorKind::kBadFrame, "packed document of unknown size");
  const std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> context(
      ZSTD_createDCtx());
  Checked(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()),
          ErrorKind::kBadFrame);
  std::string document(size, '\0');
  const size_t got =
      Checked(ZSTD_decompressDCtx(context.get(), document.data(),
                                  document.size(), frame, frame_bytes),
              ErrorKind::kBadFrame);
  if (got != size) throw Error(ErrorKind::kBadFrame, "packed document is cut");
  return document;
}

}  // namespace dotterelshift::state
