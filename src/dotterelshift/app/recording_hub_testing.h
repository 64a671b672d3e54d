#ifndef DOTTERELSHIFT_SRC_APP_RECORDING_HUB_TESTING_H_
#define DOTTERELSHIFT_SRC_APP_RECORDING_HUB_TESTING_H_

#include <string>   // for string
#include <utility>  // for pair
#include <vector>   // for vector

#include "dotterelshift/peers/hub.h"  // for Hub

namespace dotterelshift::app {

// Records what is sent and dialled.
class RecordingHub : public peers::Hub {
 public:
  bool Send(const HostId& host, const wire::FrameT& frame) override {
    sent.emplace_back(host, frame);
    return true;
  }
  size_t Backlog(const HostId&) const override { return 0; }
  std::vector<peers::PeerInfo> Peers() const override { return {}; }
  void Dial(const std::string& address) override { dials.push_back(address); }
  uint16_t Port() const override { return 0; }
  const peers::HubCounters& Counters() const override { return m_counters; }

  std::vector<std::pair<HostId, wire::FrameT>> sent;
  std::vector<std::string> dials;

 private:
  peers::HubCounters m_counters;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_RECORDING_HUB_TESTING_H_
