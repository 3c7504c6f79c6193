#pragma once

#include "tests/soak/call_record.hpp"

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace roseworks::test
{

/** Sends calls to routers and keeps what came of them.

    Safe to use from several threads.
*/
class call_book
{
public:
    explicit call_book(std::vector<std::string> router_addresses);

    /// A router listens elsewhere since it was started again.
    void router_moved(std::size_t router, const std::string& address);

    /** Send a call and record it.

        @param planned What is asked; times and reply are filled in.
        @param call    The request; its identifying headers are set here.
        @return        The record as kept.
    */
    call_record send(call_record planned, http_call call);

    /// All calls that have ended.
    std::vector<call_record> records() const;

    /// Where a router listens now.
    std::string address(std::size_t router) const;

private:
    mutable std::mutex mutex;
    std::vector<std::string> addresses;
    std::vector<call_record> ended;
};

} // namespace roseworks::test
