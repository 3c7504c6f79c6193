#include "core/dissemination/registry_change.hpp"

namespace roseworks
{

namespace
{

/// Separators. Names contain no control characters.
constexpr char model_separator = '\x1f';
constexpr char adapter_separator = '\x1e';

/// Size of the numbers of a change and of the lengths of its texts.
constexpr std::size_t base_bytes = 32;
constexpr std::size_t full_entry_bytes = 48;

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
            text += model_separator;
        text += model.name;
        for (const std::string& adapter : model.adapters)
        {
            text += adapter_separator;
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
        std::string_view one = take_until(text, model_separator);
        resident_model& model = models.emplace_back();
        model.name = take_until(one, adapter_separator);
        while (!one.empty())
            model.adapters.emplace_back(take_until(one, adapter_separator));
    }
    return models;
}

std::size_t registry_change::bytes() const
{
    const std::size_t always = base_bytes + this->entry.id.size();
    if (this->what == kind::gone)
        return always;
    const std::size_t models =
        always + pack(this->entry.holdings.resident).size();
    if (this->what == kind::models)
        return models;
    return models + full_entry_bytes + this->entry.service.size() +
           this->entry.address.size() + this->entry.data_centre.size() +
           this->entry.version.size();
}

} // namespace roseworks
