#include "tools/ctl/command.hpp"

#include <ostream>

namespace roseworks::tools
{

namespace
{

/// The long options of a command, `--log --timeout-ms`.
std::string option_words(const command& which)
{
    std::string words;
    const cxxopts::Options options = options_of(which);
    for (const cxxopts::HelpOptionDetails& option :
         options.group_help("").options)
    {
        for (const std::string& name : option.l)
        {
            words += words.empty() ? "--" : " --";
            words += name;
        }
    }
    return words;
}

} // namespace

command_result run_completion(command_context& context)
{
    BOOST_LEAF_AUTO(shell, context.argument("shell"));
    if (shell != "bash")
    {
        return boost::leaf::new_error(
            input_error{"no completion for " + shell + "; known: bash"});
    }
    std::string names;
    std::string cases;
    for (const command& each : commands())
    {
        const std::string name(each.name);
        names += names.empty() ? name : ' ' + name;
        cases += "    " + name + ") words=\"" + option_words(each) + "\" ;;\n";
    }
    context.out << "_roseworksctl()\n{\n"
                << "    local words=\"" << names << "\"\n"
                << "    if [ \"$COMP_CWORD\" -gt 1 ]; then\n"
                << "    case \"${COMP_WORDS[1]}\" in\n"
                << cases << "    esac\n    fi\n"
                << "    COMPREPLY=($(compgen -W \"$words\" -- "
                << "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
                << "complete -o default -F _roseworksctl roseworksctl\n";
    return exit_code::ok;
}

} // namespace roseworks::tools
