Feature: Look-ups order entries by the caller's block
  Uses only the core; callers are in zone home-a of three regions.

  Scenario: Look-ups name the nearest first and one of another zone last
    Given 10 entries in each of the zones home-a, home-b and near-a
    Then a look-up for a block names 2 entries of home-a and 1 of home-b
    And 1000 blocks spread over all entries of home-a
    And without one entry only the blocks that used it change

  Scenario: A look-up with two live entries names both
    Given 1 entries in each of the zones home-a and near-a
    Then a look-up for a block names 1 entries of home-a and 1 of near-a

  Scenario: Callers are grouped by network
    Then the block of "192.0.2.7" is that of "192.0.2.200"
    And the block of "192.0.2.7" is not that of "192.0.3.7"
    And the block of "::ffff:192.0.2.7" is that of "192.0.2.200"
    And the block of "2001:db8:1:2::1" is that of "2001:db8:1:ffff::9"
    And the block of "2001:db8:1::1" is not that of "2001:db8:2::1"

  Scenario: The table of client blocks finds sites and survives its shards
    Given a table of 200000 client blocks
    Then each block is found with its site
    And blocks that are not in it have no site
    And its shards are below 1000000 bytes and give the same table
    And a table with a shard missing is refused
