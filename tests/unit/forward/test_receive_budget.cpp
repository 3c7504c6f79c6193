#include "core/admission/receive_budget.hpp"

#include <chrono>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1000;
constexpr std::size_t small_request = 10 * kilobyte;
constexpr std::size_t large_request = 100 * kilobyte;

receive_budget::options make_options()
{
    receive_budget::options made;
    made.max_bytes = 1000 * kilobyte;
    made.small_bytes = small_request;
    made.large_percent = 80;
    made.stall_time = 1s;
    made.min_progress_bytes = kilobyte;
    made.max_leaving = 2;
    return made;
}

/// A connection that releases everything when it is displaced.
struct connection
{
    explicit connection(receive_budget& budget)
        : share(
              budget,
              [this]
              {
                  if (!this->agrees)
                      return false;
                  this->is_displaced = true;
                  this->share.hold(0, instant());
                  return true;
              })
    {
    }

    bool send(std::size_t bytes, instant now)
    {
        this->share.begin(now);
        this->share.received(bytes, now);
        return this->share.hold(bytes, now);
    }

    bool agrees = true;
    bool is_displaced = false;
    receive_budget::entry share;
};

using connections = std::vector<std::unique_ptr<connection>>;

/// Adds connections that each hold a request, one millisecond apart.
/// @return Whether all requests were taken.
bool add(
    connections& to,
    receive_budget& budget,
    std::size_t count,
    std::size_t bytes,
    instant now = instant())
{
    bool taken = true;
    for (std::size_t i = 0; i < count; ++i)
    {
        to.push_back(std::make_unique<connection>(budget));
        taken = to.back()->send(bytes, now + i * 1ms) && taken;
    }
    return taken;
}

std::uint64_t met(const receive_budget::counts& counts, receive_limit limit)
{
    return counts[static_cast<std::size_t>(limit)];
}

} // namespace

Test(receive_budget, large_requests_leave_room_for_small_ones)
{
    receive_budget budget(make_options());
    connections all;
    cr_assert(add(all, budget, 8, large_request));
    cr_assert_not(add(all, budget, 1, large_request));
    cr_assert(add(all, budget, 20, small_request));
    cr_assert_eq(budget.used_bytes(), 1000 * kilobyte);
    cr_assert_eq(met(budget.take_counts(), receive_limit::memory), 1U);
    cr_assert_eq(met(budget.take_counts(), receive_limit::memory), 0U);
}

Test(receive_budget, what_was_held_is_returned)
{
    receive_budget budget(make_options());
    {
        connections all;
        add(all, budget, 8, large_request);
        all[0]->share.wait(instant());
        cr_assert_eq(budget.used_bytes(), 7 * large_request);
    }
    cr_assert_eq(budget.used_bytes(), 0U);
}

Test(receive_budget, a_single_request_inside_the_limits_is_always_taken)
{
    receive_budget budget(make_options());
    budget.set_largest_request(5000 * kilobyte);
    connections all;
    cr_assert(add(all, budget, 1, 5000 * kilobyte));
    cr_assert_not(add(all, budget, 1, large_request));
}

/// They would displace each other shortly before their end.
Test(receive_budget, a_large_request_displaces_no_request_that_goes_on)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 8, large_request);
    cr_assert_not(add(all, budget, 1, large_request, instant(900ms)));
    for (const auto& one : all)
        cr_assert_not(one->is_displaced);
}

Test(receive_budget, a_large_request_displaces_the_one_stalled_longest)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 8, large_request);
    // The first one goes on, the second one only with single bytes.
    all[0]->share.received(kilobyte, instant(1500ms));
    all[1]->share.received(1, instant(1500ms));
    cr_assert(add(all, budget, 1, large_request, instant(2s)));
    for (std::size_t i = 0; i < all.size(); ++i)
        cr_assert_eq(all[i]->is_displaced, i == 1, "%zu", i);
    cr_assert_eq(met(budget.take_counts(), receive_limit::displaced), 1U);
}

Test(
    receive_budget, a_small_request_displaces_the_one_sent_for_the_longest_time)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 8, large_request);
    add(all, budget, 20, small_request);
    cr_assert(add(all, budget, 1, small_request, instant(100ms)));
    for (std::size_t i = 0; i < all.size(); ++i)
        cr_assert_eq(all[i]->is_displaced, i == 0, "%zu", i);
}

/// A backend server may have it.
Test(receive_budget, a_whole_request_is_not_displaced)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 8, large_request);
    add(all, budget, 20, small_request);
    for (const auto& one : all)
        one->share.complete();
    cr_assert_not(add(all, budget, 1, small_request, instant(1min)));
    for (const auto& one : all)
        cr_assert_not(one->is_displaced);
}

/// Thousands of callers who stall, and ordinary ones between them.
Test(receive_budget, ordinary_requests_are_taken_while_a_crowd_stalls)
{
    constexpr int rounds = 2000;
    receive_budget budget(make_options());
    connections crowd;
    for (int round = 0; round < rounds; ++round)
    {
        const instant now(round * 1ms);
        add(crowd, budget, 1, large_request - small_request, now);
        add(crowd, budget, 1, small_request, now);
        connection ordinary(budget);
        cr_assert(ordinary.send(small_request / 2, now), "round %d", round);
        ordinary.share.complete();
        cr_assert_leq(budget.used_bytes(), budget.max_bytes());
    }
}

Test(receive_budget, a_place_is_freed_by_who_is_closed_stalls_or_idles)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 5, small_request);
    all[1]->share.complete();
    all[2]->share.wait(instant(10ms));
    all[3]->share.received(kilobyte, instant(1500ms));
    all[4]->share.close();
    cr_assert(budget.free_place(instant(2s)));
    cr_assert(all[4]->is_displaced, "it is closed anyway");
    cr_assert(budget.free_place(instant(2s)));
    cr_assert(all[0]->is_displaced, "it stalls");
    cr_assert_eq(budget.leaving(), 2U);
    cr_assert_not(budget.free_place(instant(2s)), "two are leaving");
    all[4].reset();
    cr_assert_eq(budget.leaving(), 1U);
    cr_assert(budget.free_place(instant(2s)));
    cr_assert(all[2]->is_displaced, "it idles");
    all[0].reset();
    cr_assert_not(budget.free_place(instant(2s)), "the others are at work");
    cr_assert_not(all[1]->is_displaced);
    cr_assert_not(all[3]->is_displaced);
}

Test(receive_budget, a_place_is_not_freed_by_who_came_just_now)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 2, small_request);
    all[1]->share.wait(instant());
    cr_assert_not(budget.free_place(instant(900ms)));
}

Test(receive_budget, an_idle_connection_whose_request_arrives_stays)
{
    receive_budget budget(make_options());
    connections all;
    add(all, budget, 2, small_request);
    all[0]->share.wait(instant());
    all[0]->agrees = false;
    all[1]->share.wait(instant(1ms));
    cr_assert(budget.free_place(instant(2s)));
    cr_assert_not(all[0]->is_displaced);
    cr_assert(all[1]->is_displaced);
}

/// An event loop that is stopped destroys its connections last.
Test(receive_budget, connections_may_outlive_it)
{
    connections all;
    {
        receive_budget budget(make_options());
        add(all, budget, 3, small_request);
    }
    all.clear();
}
