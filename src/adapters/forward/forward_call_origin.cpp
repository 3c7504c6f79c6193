// Lets a stream go on only at the software that began it.
#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/origin_gate.hpp"
#include "ports/hex_text.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::forward
{

namespace
{

/// Retry-After when the origin isn't known here. Another router, or this one
/// after its start, may know it by then.
constexpr duration unknown_origin_retry_after{std::chrono::milliseconds(200)};

} // namespace

stream_key forward_call::key_of_attempt(std::string_view attempt) const
{
    return key_of(
        {attempt,
         this->request.host,
         this->request.target,
         this->request.model,
         this->organisation.name});
}

bool forward_call::takes_up_stream() const
{
    return this->route.kind == request_kind::streaming &&
           !this->request.caller_last_event.empty();
}

asio::awaitable<bool> forward_call::find_origin()
{
    if (!this->takes_up_stream())
        co_return true;
    origin_question question;
    question.stream = this->key_of_attempt(this->request.resumes);
    for (const service_share& share : this->route.services)
        question.services.push_back(share.service);
    origin_gate gate(this->context.ports.origins, this->pool.executor);
    const auto found = co_await gate.find(std::move(question), *this->inbox);
    if (!found)
    {
        co_await this->finish_interrupted();
        co_return false;
    }
    this->context.metrics.origins.increment(found->source);
    this->origin_known_by = found->source;
    if (!found->software)
    {
        co_await this->refuse_stream(unknown_origin_retry_after);
        co_return false;
    }
    const bool is_usable = this->use_origin(found->software);
    if (!is_usable)
        co_await this->refuse_stream(duration::zero());
    co_return is_usable;
}

bool forward_call::use_origin(software_version software)
{
    const serving_table_ptr table = this->context.ports.table();
    const std::string* began_at = table->find_service_of(software);
    if (began_at == nullptr)
        return false;
    const bool is_of_route =
        std::ranges::find(
            this->route.services, *began_at, &service_share::service) !=
        this->route.services.end();
    if (!is_of_route)
        return false;
    this->origin = software;
    this->service = *began_at;
    this->is_engine_service = table->has_engines(this->service);
    return true;
}

asio::awaitable<void> forward_call::refuse_stream(duration retry_after)
{
    co_await this->finish_without_response(
        {true, verdict::not_run, refusal_reason::unknown_origin, retry_after});
}

void forward_call::record_origin()
{
    if (this->first_software || this->events.event_count() == 0)
        return;
    this->first_software = this->last_software;
    if (this->route.resumable && this->first_software)
        this->context.ports.origins.began(
            this->key_of_attempt(this->request.id), this->first_software);
}

} // namespace roseworks::forward
