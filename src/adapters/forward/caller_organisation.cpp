#include "adapters/forward/caller_organisation.hpp"

namespace roseworks::forward
{

caller_organisation
find_caller(const organisation_index& index, const forward_request& request)
{
    caller_organisation result;
    result.keys_required = index.is_required();
    if (!result.keys_required || request.key.empty())
        return result;
    result.key = digest_of(request.key);
    const organisation* const holder = index.find(result.key);
    if (holder == nullptr)
        return result;
    result.name = holder->name;
    result.rank = holder->rank;
    result.is_limited = holder->limit.has_value();
    result.cost = holder->cost(request.tokens);
    return result;
}

} // namespace roseworks::forward
