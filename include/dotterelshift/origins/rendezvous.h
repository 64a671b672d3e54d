#ifndef DOTTERELSHIFT_ORIGINS_RENDEZVOUS_H_
#define DOTTERELSHIFT_ORIGINS_RENDEZVOUS_H_

#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "dotterelshift/origins/stream_origins.h"  // for StreamKey

namespace dotterelshift::origins {

// Rank of a daemon's hub address for a stream, the same on every daemon: those
// with the lowest ranks hold the stream's origin and are asked for it first.
uint64_t RendezvousRank(StreamKey stream, const std::string& address);

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_RENDEZVOUS_H_
