#include "scenarios/network.h"

#include <algorithm>  // for minmax

namespace dotterelshift::scenarios {

void Network::After(Duration delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

void Network::RunUntil(Instant until) {
  while (!m_events.empty() && m_events.begin()->first <= until) {
    const auto event = m_events.extract(m_events.begin());
    m_now = event.key();
    event.mapped()();
  }
  m_now = until;
}

void Network::Send(const std::string& from, const std::string& to,
                   const std::function<void()>& deliver) {
  const Pair pair = PairOf(from, to);
  if (m_cut.contains(pair)) return;
  const LinkFault& fault = m_faults[pair];
  const int sent = ++m_sent[pair];
  Deliver(pair, fault.delay, deliver);
  if (fault.double_every > 0 && sent % fault.double_every == 0)
    Deliver(pair, fault.delay, deliver);
}

void Network::Deliver(const Pair& pair, Duration delay,
                      const std::function<void()>& deliver) {
  const int64_t jitter = m_faults[pair].jitter.count();
  if (jitter > 0) {
    delay += Duration(
        static_cast<int64_t>(m_random() % static_cast<uint64_t>(jitter)));
  }
  After(delay, [this, pair, deliver] {
    if (!m_cut.contains(pair)) deliver();
  });
}

void Network::Cut(const std::string& one, const std::string& other) {
  m_cut.insert(PairOf(one, other));
}

void Network::Heal(const std::string& one, const std::string& other) {
  m_cut.erase(PairOf(one, other));
}

void Network::HealAll() {
  m_cut.clear();
  m_faults.clear();
}

bool Network::IsCut(const std::string& one, const std::string& other) const {
  return m_cut.contains(PairOf(one, other));
}

void Network::SetFault(const std::string& one, const std::string& other,
                       const LinkFault& fault) {
  m_faults[PairOf(one, other)] = fault;
}

Network::Pair Network::PairOf(const std::string& one,
                              const std::string& other) {
  return std::minmax(one, other);
}

}  // namespace dotterelshift::scenarios
