#include "core/dissemination/registry_change.hpp"

namespace roseworks
{

namespace
{

/// Control characters, which no name has.
constexpr char next_model = '\x1f';
constexpr char next_adapter = '\x1e';

/// Of a change beside its texts: numbers, and the lengths of texts.
constexpr std::size_t head_bytes = 32;
constexpr std::size_t whole_head_bytes = 48;

std::string_view take_until(std::string_view& text, char end)
{
    const std::size_t length = text.find(end);
    const std::string_view taken = text.substr(0, length);
    text.remove_prefix(
        length == std::string_view::npos ? text.size() : length + 1);
    return taken;
}

} // namespace

std::string pack(std::span<const resident_model> models)
{
    std::string text;
    for (const resident_model& model : models)
    {
        if (!text.empty())
            text += next_model;
        text += model.name;
        for (const std::string& adapter : model.adapters)
        {
            text += next_adapter;
            text += adapter;
        }
    }
    return text;
}

std::vector<resident_model> unpack(std::string_view text)
{
    std::vector<resident_model> models;
    while (!text.empty())
    {
        std::string_view one = take_until(text, next_model);
        resident_model& model = models.emplace_back();
        model.name = take_until(one, next_adapter);
        while (!one.empty())
            model.adapters.emplace_back(take_until(one, next_adapter));
    }
    return models;
}

std::size_t registry_change::bytes() const
{
    const std::size_t always = head_bytes + this->entry.id.size();
    if (this->what == kind::gone)
        return always;
    const std::size_t models =
        always + pack(this->entry.holdings.resident).size();
    if (this->what == kind::models)
        return models;
    return models + whole_head_bytes + this->entry.service.size() +
           this->entry.address.size() + this->entry.data_centre.size();
}

} // namespace roseworks
