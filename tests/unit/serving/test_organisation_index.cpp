#include "core/serving/organisation_index.hpp"

#include <memory>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;

Test(
    organisation_index, finds_the_organisation_among_the_planned_number_of_keys)
{
    constexpr std::size_t organisation_count = 870;
    constexpr std::size_t keys_each = 100;
    auto config = std::make_shared<deployment>();
    config->organisations.emplace();
    const auto key = [](std::size_t organisation_number, std::size_t number)
    {
        return std::to_string(organisation_number) + "-" +
               std::to_string(number);
    };
    for (std::size_t i = 0; i < organisation_count; ++i)
    {
        organisation& entry = config->organisations->emplace_back();
        entry.name = "o" + std::to_string(i);
        for (std::size_t j = 0; j < keys_each; ++j)
            entry.keys.push_back(digest_of(key(i, j)));
    }
    const organisation_index index(config);
    cr_assert_eq(index.keys(), organisation_count * keys_each);
    for (std::size_t i = 0; i < organisation_count; ++i)
    {
        for (std::size_t j = 0; j < keys_each; ++j)
        {
            const organisation* found = index.find(digest_of(key(i, j)));
            cr_assert_eq(found, &(*config->organisations)[i]);
        }
    }
    cr_assert_null(index.find(digest_of("other")));
}

Test(organisation_index, needs_no_keys_without_organisations)
{
    const organisation_index index(std::make_shared<deployment>());
    cr_assert_not(index.is_required());
    cr_assert_null(index.find(digest_of("any")));
}

Test(organisation_index, a_fingerprint_is_a_few_digits_of_the_digest)
{
    const key_digest digest = digest_of("key-one");
    cr_assert_eq(fingerprint_of(digest).size(), 8);
    cr_assert(fingerprint_of(digest) != fingerprint_of(digest_of("key-two")));
}
