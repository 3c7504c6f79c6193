#include "core/crashes/crash_evidence.hpp"

namespace roseworks
{

std::string_view to_string(crash_evidence evidence)
{
    switch (evidence)
    {
    case crash_evidence::unreachable:
        break;
    case crash_evidence::refused:
        return "refused";
    case crash_evidence::replaced:
        return "replaced";
    case crash_evidence::restarted:
        return "restarted";
    case crash_evidence::removed:
        return "removed";
    }
    return "unreachable";
}

} // namespace roseworks
