#include "tests/soak/call_book.hpp"

#include <utility>

namespace roseworks::test
{

namespace
{

/// A call that has no final answer by then has been dropped.
constexpr std::chrono::seconds answer_limit{60};

} // namespace

call_book::call_book(std::vector<std::string> router_addresses)
    : addresses(std::move(router_addresses))
{
}

void call_book::router_moved(std::size_t router, const std::string& address)
{
    const std::scoped_lock lock(this->mutex);
    this->addresses.at(router) = address;
}

call_record call_book::send(call_record planned, http_call call)
{
    call.limit = answer_limit;
    call.headers["X-Request-Id"] = planned.request_id;
    call.headers["X-Deadline-Ms"] = std::to_string(planned.deadline.count());
    if (!planned.key.empty())
        call.headers["Idempotency-Key"] = planned.key;
    planned.begin = std::chrono::steady_clock::now();
    planned.reply = test::send(this->address(planned.router), call);
    planned.end = std::chrono::steady_clock::now();
    const std::scoped_lock lock(this->mutex);
    this->ended.push_back(planned);
    return planned;
}

std::vector<call_record> call_book::records() const
{
    const std::scoped_lock lock(this->mutex);
    return this->ended;
}

std::string call_book::address(std::size_t router) const
{
    const std::scoped_lock lock(this->mutex);
    return this->addresses.at(router);
}

} // namespace roseworks::test
