#include "core/serving/organisation.hpp"

namespace roseworks
{

double organisation::cost(std::optional<std::uint64_t> tokens) const
{
    if (!this->counts_tokens)
        return 1;
    return static_cast<double>(tokens.value_or(this->default_tokens));
}

} // namespace roseworks
