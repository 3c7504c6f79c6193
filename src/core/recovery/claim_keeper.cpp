#include "core/recovery/claim_keeper.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace roseworks::detail
{

namespace
{

/// A longer answer isn't kept with its claim: only its status is.
constexpr std::size_t max_kept_body = std::size_t(32) << 10;

/// What a call hears whose own record lost.
claim_result::status to_status(reject_reason reason)
{
    switch (reason)
    {
    case reject_reason::claim_held:
        return claim_result::status::held;
    case reject_reason::claim_expired:
        return claim_result::status::expired;
    default:
        return claim_result::status::unavailable;
    }
}

} // namespace

claim_keeper::claim_keeper(duration longest_wait)
    : timeout(longest_wait)
{
}

void claim_keeper::answer(
    const control_context& context,
    const claim_request& asked,
    claim_result::status status)
{
    claim_result result;
    result.key = asked.key;
    result.result = status;
    result.content = asked.content;
    const std::optional<claim_view> claim = context.state.claim(asked.key);
    if (status == claim_result::status::held && claim)
    {
        result.outcome = claim->outcome;
        result.http_status = claim->status;
        result.body = std::string(claim->body);
        result.content = claim->content;
    }
    context.out.emplace_back(std::move(result));
}

void claim_keeper::claim(
    const control_context& context, const claim_request& asked)
{
    if (!context.log_available || !context.self)
    {
        answer(context, asked, claim_result::status::unavailable);
        return;
    }
    const auto under_way = this->waiting.find(asked.key);
    if (under_way != this->waiting.end())
    {
        // An abandoned claim may still be folded as ours: until it is known,
        // nobody here can say who holds the key.
        answer(
            context,
            {asked.key, under_way->second.content},
            under_way->second.abandoned ? claim_result::status::unavailable
                                        : claim_result::status::held);
        return;
    }
    const std::optional<claim_view> known = context.state.claim(asked.key);
    if (known && known->outcome != claim_outcome::not_run)
    {
        answer(context, asked, claim_result::status::held);
        return;
    }
    waiting_claim sent;
    sent.content = asked.content;
    sent.sequence = context.submit(
        claim_open{asked.key, context.self, asked.content, asked.issued});
    sent.give_up = context.now + this->timeout;
    this->waiting.emplace(asked.key, sent);
}

void claim_keeper::close(const control_context& context, claim_close what)
{
    if (what.body.size() > max_kept_body)
    {
        what.body.clear();
    }
    what.session = context.self;
    const std::optional<claim_view> claim = context.state.claim(what.key);
    if (claim && claim->session)
    {
        // The claim may be of an earlier session of this process.
        what.session = claim->session;
    }
    context.submit(std::move(what));
}

void claim_keeper::folded(
    const control_context& context, const fold_event& event)
{
    const auto* open = std::get_if<claim_open>(&event.value.payload);
    if (open == nullptr || !event.handed_out)
    {
        return;
    }
    const auto asked = this->waiting.find(open->key);
    if (asked != this->waiting.end() &&
        asked->second.sequence == event.value.id.sequence)
    {
        this->settle(context, open->key, event);
    }
}

void claim_keeper::settle(
    const control_context& context, claim_key key, const fold_event& event)
{
    const bool abandoned = this->waiting.at(key).abandoned;
    const claim_request asked{key, this->waiting.at(key).content};
    this->waiting.erase(key);
    const bool ours = event.result.status == fold_status::accepted;
    if (abandoned)
    {
        if (ours)
        {
            claim_close close;
            close.key = key;
            close.session = context.state.claim(key)->session;
            close.outcome = claim_outcome::not_run;
            context.submit(std::move(close));
        }
        return;
    }
    if (ours)
    {
        answer(context, asked, claim_result::status::granted);
        return;
    }
    answer(context, asked, to_status(event.result.reason));
}

void claim_keeper::step(const control_context& context)
{
    for (auto place = this->waiting.begin(); place != this->waiting.end();)
    {
        const auto current = place++;
        waiting_claim& asked = current->second;
        const bool over =
            context.now >= asked.give_up || !context.log_available;
        if (asked.abandoned || !over)
        {
            continue;
        }
        const claim_request request{current->first, asked.content};
        asked.abandoned = true;
        if (context.commit.withdraw(asked.sequence))
        {
            this->waiting.erase(current);
        }
        answer(context, request, claim_result::status::unavailable);
    }
}

instant claim_keeper::next_tick() const
{
    instant next = instant::max();
    for (const auto& [key, asked] : this->waiting)
    {
        if (!asked.abandoned)
        {
            next = std::min(next, asked.give_up);
        }
    }
    return next;
}

} // namespace roseworks::detail
