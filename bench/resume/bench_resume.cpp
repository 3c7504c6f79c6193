/** Going on with streams at another engine: computing their prefix again
    against moving their KV cache there, in virtual time.

    Streams of one engine are cut together. Either the others compute each
    prefix again, one after another, or the cut engine sends its KV over its
    link, one stream after another. An engine that died has no KV to send: its
    streams wait for a try at the transfer (a refused connection) and are
    computed again. Prints the pauses that callers see.

    The engines' published interface tells memory by servable and no size of
    KV, rate of prefill or link: all three are assumed here, and the link is
    varied.
*/
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr std::size_t rounds = 2'000;  ///< engines that are cut
constexpr std::size_t streams = 8;     ///< in flight on each
constexpr std::size_t targets = 3;     ///< engines that take them over
constexpr double prefill_rate = 5'000; ///< tokens/s of an engine
/// 32 layers, 8 KV heads of 128, two tensors, 16 bit.
constexpr double kv_bits = 8.0 * 2 * 32 * 8 * 128 * 2;
constexpr double round_trip = 0.002; ///< s between data centres
constexpr std::uint32_t longest_answer = 400;

/// How a stream goes on.
enum class way
{
    compute,
    move
};

/// One experiment: how often the cut engine is dead, and its link.
struct setting
{
    double dead_share = 0;
    double link_bits = 0; ///< bits/s
};

/// Tokens of a stream's prefix: a quick question, a longer one or a whole
/// catalogue, and what the caller has of the answer.
double draw_prefix(std::mt19937_64& random)
{
    const auto kind = random() % 100;
    const double prompt = kind < 70 ? 500 : kind < 95 ? 2'000 : 20'000;
    return prompt + static_cast<double>(random() % longest_answer);
}

/// Pauses of the streams when their prefixes are computed again.
void compute_all(
    const std::vector<double>& prefixes,
    double begin,
    std::vector<double>& pauses)
{
    std::vector<double> free_at(targets, begin);
    for (const double prefix : prefixes)
    {
        const auto engine = std::ranges::min_element(free_at);
        *engine += prefix / prefill_rate;
        pauses.push_back(*engine);
    }
}

/// Pauses of the streams when their KV is moved.
void move_all(
    const std::vector<double>& prefixes,
    double link_bits,
    std::vector<double>& pauses)
{
    double link_free = round_trip;
    for (const double prefix : prefixes)
    {
        link_free += prefix * kv_bits / link_bits;
        pauses.push_back(link_free);
    }
}

std::vector<double> run(way how, const setting& wanted)
{
    std::mt19937_64 random(1);
    std::vector<double> pauses;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        std::vector<double> prefixes(streams);
        for (double& prefix : prefixes)
            prefix = draw_prefix(random);
        // Short ones first, either way.
        std::ranges::sort(prefixes);
        const bool dead =
            static_cast<double>(random() % 1000) < wanted.dead_share * 1000;
        if (how == way::move && !dead)
            move_all(prefixes, wanted.link_bits, pauses);
        else
            compute_all(prefixes, how == way::move ? round_trip : 0, pauses);
    }
    std::ranges::sort(pauses);
    return pauses;
}

void print(const std::string& name, const std::vector<double>& pauses)
{
    double sum = 0;
    for (const double pause : pauses)
        sum += pause;
    const auto at = [&](std::size_t percent)
    {
        return pauses[pauses.size() * percent / 100];
    };
    std::printf("%s_mean=%.3f s\n", name.c_str(), sum / double(pauses.size()));
    std::printf("%s_p50=%.3f s\n", name.c_str(), at(50));
    std::printf("%s_p99=%.3f s\n", name.c_str(), at(99));
}

} // namespace

int main()
{
    print("compute", run(way::compute, {}));
    for (const int gigabits : {1, 10, 25, 100})
    {
        for (const int dead : {0, 50, 90})
        {
            const setting wanted{dead / 100.0, gigabits * 1e9};
            print(
                "move_" + std::to_string(gigabits) + "_gbit_dead_" +
                    std::to_string(dead) + "_percent",
                run(way::move, wanted));
        }
    }
    return 0;
}
