#include "adapters/forward/caller_organisation.hpp"

namespace roseworks::forward
{

caller_organisation
find_caller(const organisation_index& known, const forward_request& request)
{
    caller_organisation made;
    made.keys_required = known.is_required();
    if (!made.keys_required || request.key.empty())
        return made;
    made.key = digest_of(request.key);
    const organisation* const holder = known.find(made.key);
    if (holder == nullptr)
        return made;
    made.name = holder->name;
    made.rank = holder->rank;
    made.is_limited = holder->limit.has_value();
    made.cost = holder->cost(request.tokens);
    return made;
}

} // namespace roseworks::forward
