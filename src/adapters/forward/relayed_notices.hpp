#pragma once

#include "adapters/forward/forward_context.hpp"
#include "adapters/relay/relay_watch.hpp"

namespace roseworks::forward
{

/// Applies what servers state about themselves to the requests that this router
/// relays for others: it is answered to this router.
class relayed_notices final : public relay::relay_watch
{
public:
    /// @param shared Must outlive the object.
    explicit relayed_notices(forward_context& shared);

    std::string rejection_for(std::string_view server) const override;
    void
    response_relayed(std::string_view server, std::string_view head) override;

private:
    forward_context& context;
};

} // namespace roseworks::forward
