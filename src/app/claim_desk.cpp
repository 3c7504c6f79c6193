#include "app/claim_desk.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace roseworks::app
{

namespace
{

claim_result unavailable(claim_key key)
{
    claim_result result;
    result.key = key;
    result.result = claim_result::status::unavailable;
    return result;
}

} // namespace

claim_desk::claim_desk(
    boost::asio::any_io_executor control_executor, control_loop& driven)
    : control(std::move(control_executor))
    , loop(driven)
{
}

void claim_desk::claim(const claim_request& asked, result_handler handler)
{
    boost::asio::post(
        this->control,
        [this, asked, handler = std::move(handler)]() mutable
        {
            this->take(asked, std::move(handler));
        });
}

void claim_desk::close(claim_close what)
{
    boost::asio::post(
        this->control,
        [this, what = std::move(what)]() mutable
        {
            this->loop.close_claim(std::move(what));
        });
}

void claim_desk::take(const claim_request& asked, result_handler handler)
{
    std::vector<result_handler>& same_key = this->waiting[asked.key];
    same_key.push_back(std::move(handler));
    const bool is_first = same_key.size() == 1;
    if (is_first && !this->loop.claim(asked))
        this->decided(unavailable(asked.key));
}

void claim_desk::decided(const claim_result& result)
{
    auto waiters = this->waiting.extract(result.key);
    if (waiters.empty())
        return;

    claim_result told = result;
    for (const result_handler& handler : waiters.mapped())
    {
        handler(told);
        if (told.result == claim_result::status::granted)
            told.result = claim_result::status::held;
    }
}

void claim_desk::dropped()
{
    auto waiters = std::exchange(this->waiting, {});
    for (const auto& [key, handlers] : waiters)
    {
        for (const result_handler& handler : handlers)
            handler(unavailable(key));
    }
}

} // namespace roseworks::app
