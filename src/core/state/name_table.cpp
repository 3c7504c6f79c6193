#include "core/state/name_table.hpp"

#include <xxhash.h>

#include <cassert>
#include <cstring>

namespace roseworks::detail
{

std::uint32_t name_table::find(std::string_view name) const
{
    if (this->slots.empty())
        return 0;
    return this->slots[this->slot_of(name)];
}

std::uint32_t name_table::intern(std::string_view name)
{
    assert(name.size() <= max_length);
    if (const std::uint32_t known = this->find(name))
        return known;
    if ((this->size() + 1) * 4 > this->slots.size() * 3)
        this->grow();
    this->positions.push_back(this->store(name));
    const auto id = static_cast<std::uint32_t>(this->size());
    this->slots[this->slot_of(name)] = id;
    return id;
}

std::string_view name_table::name(std::uint32_t id) const
{
    if (id == 0 || id > this->size())
        return {};
    const std::uint32_t position = this->positions[id - 1];
    const char* entry =
        (*this->arena)[position / chunk_bytes].get() + position % chunk_bytes;
    return {entry + 1, static_cast<unsigned char>(*entry)};
}

std::size_t name_table::slot_of(std::string_view name) const
{
    const std::size_t mask = this->slots.size() - 1;
    std::size_t slot = XXH3_64bits(name.data(), name.size()) & mask;
    while (this->slots[slot] != 0 && this->name(this->slots[slot]) != name)
        slot = (slot + 1) & mask;
    return slot;
}

std::uint32_t name_table::store(std::string_view name)
{
    if (this->used + 1 + name.size() > chunk_bytes)
    {
        this->arena->push_back(std::make_unique<char[]>(chunk_bytes));
        this->used = 0;
    }
    char* entry = this->arena->back().get() + this->used;
    *entry = static_cast<char>(name.size());
    std::memcpy(entry + 1, name.data(), name.size());
    const std::size_t position =
        (this->arena->size() - 1) * chunk_bytes + this->used;
    this->used += 1 + name.size();
    return static_cast<std::uint32_t>(position);
}

void name_table::grow()
{
    constexpr std::size_t first = 16;
    const std::size_t size =
        this->slots.empty() ? first : this->slots.size() * 2;
    this->slots.assign(size, 0);
    for (std::uint32_t id = 1; id <= this->size(); ++id)
        this->slots[this->slot_of(this->name(id))] = id;
}

} // namespace roseworks::detail
