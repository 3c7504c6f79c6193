#include "platform/store_frames.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks::users_platform;

namespace
{

std::string number(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>(value >> shift & 0xFF);
    return bytes;
}

} // namespace

Test(store_frames, encoded_records_can_be_parsed)
{
    const std::string body = number(12) + number(3) +
                             encode_keyed_record({"k1", "value"}) +
                             encode_keyed_record({"k2", std::nullopt});
    const keyed_page page = parse_keyed_frames(body, 10);
    cr_assert(page.outcome == store_outcome::answered);
    cr_assert_eq(page.next, 12);
    cr_assert_eq(page.records.size(), 2);
    cr_assert_eq(page.records[0].key, "k1");
    cr_assert_eq(*page.records[0].value, "value");
    cr_assert_not(page.records[1].value.has_value(), "the key is deleted");
}

Test(store_frames, an_empty_read_keeps_the_offset)
{
    const keyed_page page = parse_keyed_frames(number(12) + number(3), 12);
    cr_assert(page.outcome == store_outcome::answered);
    cr_assert_eq(page.next, 12);
}

Test(store_frames, lengths_beyond_the_buffer_are_malformed)
{
    const std::string head = number(12) + number(3);
    const std::string broken[] = {
        "",
        head.substr(0, 15),
        head + "abc",
        head + std::string("\0\0\0\x09x", 5)};
    for (const std::string& text : broken)
        cr_assert(
            parse_keyed_frames(text, 1).outcome == store_outcome::malformed);
}

/// An answer without a length may be cut before its first record.
Test(store_frames, an_answer_without_the_records_that_it_announces_is_malformed)
{
    const std::string head = number(12) + number(3);
    cr_assert(parse_keyed_frames(head, 11).outcome == store_outcome::malformed);
    cr_assert(parse_keyed_frames(head, 12).outcome == store_outcome::answered);
}

Test(store_frames, a_record_with_a_truncated_key_is_skipped)
{
    const std::string odd = std::string("\0\0\0\x02", 4) + "\x09z";
    const keyed_page page = parse_keyed_frames(
        number(2) + number(0) + odd + encode_keyed_record({"k", "v"}), 0);
    cr_assert_eq(page.records.size(), 1);
    cr_assert_eq(page.next, 2, "the skipped record still takes an offset");
}

Test(store_frames, parses_a_listing_and_skips_invalid_items)
{
    const keyed_page page = parse_listing(
        R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4},
        {"key":"odd","value":"%%"},{"key":7,"value":"","offset":1}],
        "has_more":true,"end":6})");
    cr_assert(page.outcome == store_outcome::answered);
    cr_assert_eq(page.records.size(), 1);
    cr_assert_eq(*page.records[0].value, "{\"a\":1}");
    cr_assert(page.has_more);
    cr_assert_eq(page.next, 6);
    cr_assert(
        parse_listing("{\"items\":3}").outcome == store_outcome::malformed);
}

Test(store_frames, parses_the_partitions_of_a_member)
{
    const group_membership held = parse_membership(
        R"({"generation":7,"ttl_ms":3000,
        "parts":[["placement",3,840],["other",0,0],["placement",0,0]]})",
        "placement");
    cr_assert(held.outcome == store_outcome::answered);
    cr_assert_eq(held.generation, 7);
    cr_assert_eq(held.partitions.size(), 2);
    cr_assert_eq(held.partitions[1], 0);
    const std::string broken[] = {
        "",
        "{}",
        R"({"generation":-1,"parts":[]})",
        R"({"generation":1,"parts":[["placement"]]})",
        R"({"generation":1,"parts":[["placement","0"]]})"};
    for (const std::string& text : broken)
        cr_assert(
            parse_membership(text, "placement").outcome ==
            store_outcome::malformed);
}
