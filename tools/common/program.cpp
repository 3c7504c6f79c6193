#include "tools/common/program.hpp"

namespace roseworks::tools
{

int run_main(const std::function<exit_code()>& program)
{
    const auto body = [&program]() -> boost::leaf::result<exit_code>
    {
        return program();
    };
    return static_cast<int>(run_and_explain(body));
}

} // namespace roseworks::tools
