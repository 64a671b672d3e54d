#ifndef DOTTERELSHIFT_STATE_COMPACT_TABLE_H_
#define DOTTERELSHIFT_STATE_COMPACT_TABLE_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint32_t
#include <functional>   // for hash
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <vector>       // for vector

namespace dotterelshift::state {

// Hash table of rows keyed by their `id` member, for tables of several hundred
// thousand small rows. A row costs its own size and about eight bytes of index,
// where a node-based map takes three times as much. The address of a row is
// stable until the row is erased. An empty id marks a free slot, so no row may
// have one.
template <typename Row>
class CompactTable {
 public:
  using Slot = uint32_t;

  // Iterates over the rows in slot order and yields pairs of id and row.
  template <typename Table, typename Item>
  class BasicIterator {
   public:
    BasicIterator(Table* table, Slot slot) : m_table(table), m_slot(slot) {
      SkipFree();
    }
    std::pair<const std::string&, Item&> operator*() const {
      Item& row = m_table->At(m_slot);
      return {row.id, row};
    }
    BasicIterator& operator++() {
      ++m_slot;
      SkipFree();
      return *this;
    }
    bool operator==(const BasicIterator& other) const {
      return m_slot == other.m_slot;
    }

   private:
    void SkipFree() {
      while (m_slot < m_table->m_slots && m_table->At(m_slot).id.empty())
        ++m_slot;
    }
    Table* m_table;
    Slot m_slot;
  };
  using Iterator = BasicIterator<CompactTable, Row>;
  using ConstIterator = BasicIterator<const CompactTable, const Row>;

  Iterator begin() { return {this, 0}; }
  Iterator end() { return {this, m_slots}; }
  ConstIterator begin() const { return {this, 0}; }
  ConstIterator end() const { return {this, m_slots}; }
  size_t size() const { return m_size; }

  Row& At(Slot slot) { return m_chunks[slot / kChunk][slot % kChunk]; }
  const Row& At(Slot slot) const {
    return m_chunks[slot / kChunk][slot % kChunk];
  }

  // Returns null if there is no such row.
  Row* Find(std::string_view id) {
    const size_t position = PositionOf(id);
    return IsOccupied(position) ? &At(m_index[position] - 1) : nullptr;
  }
  const Row* Find(std::string_view id) const {
    const size_t position = PositionOf(id);
    return IsOccupied(position) ? &At(m_index[position] - 1) : nullptr;
  }

  // Returns the slot of the row with this id, and true if the row was added.
  std::pair<Slot, bool> FindOrAdd(const std::string& id) {
    if ((m_size + 1) * 4 > m_index.size() * 3) Grow();
    const size_t position = PositionOf(id);
    if (IsOccupied(position)) return {m_index[position] - 1, false};
    const Slot slot = AllocateSlot();
    At(slot).id = id;
    m_index[position] = slot + 1;
    ++m_size;
    return {slot, true};
  }

  void Erase(std::string_view id) {
    size_t gap = PositionOf(id);
    if (!IsOccupied(gap)) return;
    const Slot slot = m_index[gap] - 1;
    BackwardShift(gap);
    At(slot) = Row();
    m_free.push_back(slot);
    --m_size;
  }

 private:
  static constexpr size_t kChunk = 512;
  static constexpr size_t kMinIndexSize = 16;

  bool IsOccupied(size_t position) const {
    return position < m_index.size() && m_index[position] != 0;
  }
  size_t HomePosition(std::string_view id) const {
    return std::hash<std::string_view>()(id) & (m_index.size() - 1);
  }

  // Position of the id in the index or, if it is not there, the free position
  // where it would be inserted (linear probing).
  size_t PositionOf(std::string_view id) const {
    if (m_index.empty()) return 0;
    size_t position = HomePosition(id);
    while (m_index[position] != 0 && At(m_index[position] - 1).id != id)
      position = (position + 1) & (m_index.size() - 1);
    return position;
  }

  // Removes an index entry by backward shift deletion: later entries of the
  // probe sequence move up, so that all of them stay reachable.
  void BackwardShift(size_t gap) {
    const size_t mask = m_index.size() - 1;
    size_t next = (gap + 1) & mask;
    while (m_index[next] != 0) {
      const size_t home = HomePosition(At(m_index[next] - 1).id);
      const bool movable = ((next - home) & mask) >= ((next - gap) & mask);
      if (movable) {
        m_index[gap] = m_index[next];
        gap = next;
      }
      next = (next + 1) & mask;
    }
    m_index[gap] = 0;
  }

  void Grow() {
    const size_t size = m_index.empty() ? kMinIndexSize : m_index.size() * 2;
    m_index.assign(size, 0);
    for (Slot slot = 0; slot < m_slots; ++slot) {
      if (At(slot).id.empty()) continue;
      m_index[PositionOf(At(slot).id)] = slot + 1;
    }
  }

  Slot AllocateSlot() {
    if (!m_free.empty()) {
      const Slot slot = m_free.back();
      m_free.pop_back();
      return slot;
    }
    if (m_slots == m_chunks.size() * kChunk)
      m_chunks.push_back(std::make_unique<Row[]>(kChunk));
    return m_slots++;
  }

  std::vector<std::unique_ptr<Row[]>> m_chunks;
  std::vector<Slot> m_index;  // slot + 1, or 0 if free; size: a power of two
  std::vector<Slot> m_free;
  Slot m_slots = 0;
  size_t m_size = 0;
};

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_COMPACT_TABLE_H_
