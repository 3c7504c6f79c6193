#pragma once

#include "core/state/record_fields.hpp"

#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks::detail
{

struct claim_key_hash
{
    std::size_t operator()(const claim_key& key) const
    {
        return key.low ^ (key.high * 0x9E3779B97F4A7C15ULL);
    }
};

/** Bodies of the answers to claimed calls, up to a total. Decided state.

    The oldest closed give way. Only the stored answer is lost, never the claim.
*/
class kept_answers
{
public:
    /// Longest answer kept; longer ones aren't kept at all, as part of an
    /// answer would pass for the whole.
    static constexpr std::size_t max_body = 4096;
    /// Counted for an answer beside its body.
    static constexpr std::size_t overhead = 192;
    /// All answers kept, in bytes: 512 of the longest.
    static constexpr std::size_t max_bytes = 512 * (max_body + overhead);

    /// @return The answer, empty when none is kept.
    std::string_view find(const claim_key& key) const;

    /** Keep an answer, if it is neither empty nor too long.

        @param key    A key that has none.
        @param closed The record that brought it.
        @param body   The answer.
        @return       Whether that record brought no other answer before.
    */
    bool insert(const claim_key& key, log_offset closed, std::string body);

    void erase(const claim_key& key);

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->order.size()));
        for (const auto& [closed, key] : this->order)
        {
            out.number(closed);
            fields(out, key);
            out.text(this->bodies.at(key).text);
        }
    }

    template <class Reader, class Known>
    void load(Reader& in, Known&& known)
    {
        const std::size_t total = in.length();
        for (std::size_t i = 0; i < total && !in.failed(); ++i)
        {
            log_offset closed;
            claim_key key;
            std::string body;
            in.number(closed);
            fields(in, key);
            in.text(body);
            if (in.failed())
                return;
            const bool fits = !body.empty() && body.size() <= max_body &&
                              this->find(key).empty() && known(key);
            if (!fits || !this->insert(key, closed, std::move(body)))
                in.fail("an answer without its claim, or twice");
        }
    }

private:
    struct answer
    {
        log_offset closed;
        std::string text;
    };

    std::unordered_map<claim_key, answer, claim_key_hash> bodies;
    std::map<log_offset, claim_key> order; ///< by closing record
    std::size_t bytes = 0;
};

} // namespace roseworks::detail
