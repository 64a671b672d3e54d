#include "dotterelshift/origins/origin_responder.h"

#include <utility>  // for exchange

namespace dotterelshift::origins {

bool OriginResponder::AddIfKnown(const HostId& to, StreamKey stream,
                                 Instant now) {
  const KnownOrigin known = m_origins.Find(stream, now);
  if (known.state == OriginState::kMissing) return false;
  OriginAnswer& answer = m_answers[to];
  answer.known.emplace_back(stream, known.software);
  if (known.state == OriginState::kUnclear) answer.unclear.push_back(stream);
  return true;
}

void OriginResponder::OnQuestion(const HostId& from,
                                 const std::vector<StreamKey>& streams,
                                 Instant now) {
  for (const StreamKey stream : streams) {
    if (AddIfKnown(from, stream, now)) continue;
    if (m_held.size() >= m_options.max_held) {
      m_answers[from].missing.push_back(stream);
      continue;
    }
    m_held.emplace(stream, Held{now, from});
    m_by_age.emplace_back(now, stream);
  }
}

void OriginResponder::OnLearned(StreamKey stream, Instant now) {
  const auto [begin, end] = m_held.equal_range(stream);
  if (begin == end) return;
  for (auto held = begin; held != end; ++held)
    AddIfKnown(held->second.from, stream, now);
  m_held.erase(begin, end);
}

void OriginResponder::OnDown(const HostId& host) {
  m_answers.erase(host);
  std::erase_if(m_held,
                [&host](const auto& item) { return item.second.from == host; });
}

void OriginResponder::OnTimer(Instant now) {
  while (!m_by_age.empty() && now - m_by_age.front().first >= m_options.hold) {
    const StreamKey stream = m_by_age.front().second;
    m_by_age.pop_front();
    const auto [begin, end] = m_held.equal_range(stream);
    for (auto held = begin; held != end;) {
      if (now - held->second.since < m_options.hold) {
        ++held;
        continue;
      }
      m_answers[held->second.from].missing.push_back(stream);
      held = m_held.erase(held);
    }
  }
}

Instant OriginResponder::NextTimer() const {
  if (m_by_age.empty()) return Instant::max();
  return m_by_age.front().first + m_options.hold;
}

std::map<HostId, OriginAnswer> OriginResponder::TakeAnswers(Instant now) {
  std::map<HostId, OriginAnswer> answers = std::exchange(m_answers, {});
  for (auto& [host, answer] : answers)
    answer.starting = now - m_started < m_options.warm_up;
  return answers;
}

}  // namespace dotterelshift::origins
