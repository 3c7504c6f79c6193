#pragma once

#include "tests/soak/call_book.hpp"
#include "tests/soak/soak_options.hpp"

#include <random>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::test
{

/** Callers of every class, each a thread with random numbers of its own.

    There are enough of them that a call that hangs holds up no other. Stops,
    after the calls in flight, when the object goes.
*/
class traffic
{
public:
    traffic(const soak_options& options, call_book& book);

    /// No new calls; returns when all have ended.
    void finish();

private:
    /// One caller's own state.
    struct caller
    {
        std::size_t number = 0;
        std::uint64_t sent = 0;
        std::mt19937_64 random;
    };

    void call_until(const std::stop_token& stopped, caller& self);
    void complete(caller& self, bool stream);
    /// A completion under an idempotency key, at one or two routers.
    void draft(caller& self);
    void dispatch(caller& self);
    /// Send under a key until it is answered, thrice at most.
    void send_under_key(
        caller& self, const call_record& planned, const http_call& call);
    call_record plan(caller& self, call_kind kind) const;
    std::size_t any_router(caller& self) const;

    soak_options options;
    call_book& book;
    std::vector<std::jthread> threads;
};

/// @return A completion as `planned` describes it.
http_call
completion_call(const call_record& planned, const std::string& servable);

} // namespace roseworks::test
