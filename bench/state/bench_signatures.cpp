/** What operators' signatures cost the fold: a change signed, unsigned, and
    the bytes of the state that keep it from taking effect twice.
*/
#include <roseworks/codec.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/operator_key.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace roseworks;

namespace
{

constexpr int changes = 2000;
constexpr double to_us = 1e6;

void print(const char* name, double value, const char* unit)
{
    std::printf("%s=%.2f %s\n", name, value, unit);
}

record made(int number, record_payload payload)
{
    record value;
    value.id = {author_id(1000 + static_cast<std::uint64_t>(number)), 1, 1};
    value.stamp = 1'700'000'000'000;
    value.payload = std::move(payload);
    return value;
}

record change_of(int number)
{
    entity_change change;
    change.kind = entity_kind::model;
    change.name = "m" + std::to_string(number);
    model_spec spec;
    spec.memory_mib = 100;
    change.spec = spec;
    return made(number, config_change{"olga", "", {change}, {}});
}

record first_key(const operator_signing_key& key)
{
    const auto& bytes = key.public_key().bytes;
    operator_key_change change{"olga", 1, {bytes.begin(), bytes.end()}, {}};
    record value = made(-1, change);
    (void)key.sign(value);
    return value;
}

/// @return Microseconds of folding a change.
double fold_us(fleet_state& state, const std::vector<record>& records)
{
    std::size_t accepted = 0;
    const auto start = std::chrono::steady_clock::now();
    for (const record& value : records)
    {
        const log_offset next(state.folded().value + 1);
        accepted +=
            state.apply(next, value).status == fold_status::accepted ? 1 : 0;
    }
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - start;
    if (accepted != records.size())
        std::printf("accepted=%zu records\n", accepted);
    return took.count() * to_us / static_cast<double>(records.size());
}

} // namespace

int main()
{
    const std::vector<std::byte> secret(operator_key_bytes, std::byte{7});
    const auto key = operator_signing_key::make(1, secret);
    std::vector<record> bare;
    for (int i = 0; i < changes; ++i)
        bare.push_back(change_of(i));
    std::vector<record> signed_ones = bare;
    const auto start = std::chrono::steady_clock::now();
    for (record& value : signed_ones)
        (void)key->sign(value);
    const std::chrono::duration<double> signing =
        std::chrono::steady_clock::now() - start;

    fleet_state open;
    fleet_state guarded;
    (void)guarded.apply(log_offset(1), first_key(*key));
    const double plain = fold_us(open, bare);
    const double checked = fold_us(guarded, signed_ones);
    print("sign", signing.count() * to_us / changes, "us");
    print("fold_unsigned_change", plain, "us");
    print("fold_signed_change", checked, "us");
    print(
        "signed_record_growth",
        double(encode(signed_ones[0]).size() - encode(bare[0]).size()),
        "bytes");
    print(
        "state_per_signed_change",
        double(guarded.snapshot().size() - open.snapshot().size()) / changes,
        "bytes");
    return 0;
}
