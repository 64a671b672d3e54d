#include "dotterelshift/origins/rendezvous.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

namespace dotterelshift::origins {

uint64_t RendezvousRank(StreamKey stream, const std::string& address) {
  return XXH3_64bits_withSeed(address.data(), address.size(), stream);
}

}  // namespace dotterelshift::origins
