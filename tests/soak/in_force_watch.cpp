#include "tests/soak/in_force_watch.hpp"

#include "tests/support/fleet.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace roseworks::test
{

namespace
{

using std::chrono::steady_clock;

constexpr std::string_view accepted = "accepted at offset ";
constexpr std::chrono::seconds answer_limit{1};

} // namespace

in_force_watch::in_force_watch(const call_book& book, std::size_t routers)
    : book(book)
    , routers(routers)
{
}

void in_force_watch::applied(
    steady_clock::time_point begin, const std::string& output)
{
    const auto found = output.find(accepted);
    if (found == std::string::npos)
        return;
    const std::uint64_t offset =
        std::strtoull(output.c_str() + found + accepted.size(), nullptr, 10);
    const std::scoped_lock lock(this->mutex);
    this->threads.emplace_back(
        [this, begin, offset]
        {
            this->follow(begin, offset);
        });
}

std::vector<std::chrono::milliseconds> in_force_watch::finish()
{
    std::vector<std::jthread> all;
    {
        const std::scoped_lock lock(this->mutex);
        all.swap(this->threads);
    }
    all.clear();
    std::ranges::sort(this->times);
    return this->times;
}

void in_force_watch::follow(
    steady_clock::time_point begin, std::uint64_t offset)
{
    const bool everywhere = eventually(
        [&]
        {
            return this->in_force(offset);
        });
    if (!everywhere)
        return;
    const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady_clock::now() - begin);
    const std::scoped_lock lock(this->mutex);
    this->times.push_back(lasted);
}

bool in_force_watch::in_force(std::uint64_t offset) const
{
    for (std::size_t i = 0; i < this->routers; ++i)
    {
        http_call call;
        call.target = "/state";
        call.limit = answer_limit;
        const http_reply reply = send(this->book.address(i), call);
        if (reply.status != 200)
            continue;
        const auto state = reply.json();
        // A router that joins shows no offset yet.
        const auto* const folded = state.as_object().if_contains("offset");
        if (folded == nullptr || folded->to_number<std::uint64_t>() < offset)
            return false;
    }
    return true;
}

} // namespace roseworks::test
