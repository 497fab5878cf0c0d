Feature: Entries hear of each other's loads at any size of the fleet
  Uses the real messages in virtual time, without sockets, with 55 ms between
  regions.

  # Guards against queues while other upstreams have free slots.
  Scenario: A request is counted by every entry within 0.45 s and the way
    Given 195 entries in 9 zones of 3 regions that tell each other the loads of 539 upstreams
    When 12 requests start at entries drawn with seed 1, a tenth of a second apart
    Then every entry counts each of them within 0.45 s and the way

  # Guards against load reports that use the link capacity that requests need.
  Scenario: Words on loads leave the links to requests
    Given 195 entries in 9 zones of 3 regions that tell each other the loads of 539 upstreams
    When every upstream has a weight of its own in the plan, and all is told for 2 s
    Then every entry has that plan
    And no entry sends more than 0.25 of a link of 100 Mbit/s
    And all entries send at most 1 MB/s to other regions

  # Guards against a reporter with a small link, which the totals of its zone
  # would fill.
  Scenario: A reporter with a small link tells less often
    Given 195 entries in 9 zones of 3 regions that tell each other the loads of 539 upstreams
    But each has a link of 10 Mbit/s
    When every upstream has a weight of its own in the plan, and all is told for 2 s
    Then no entry sends more than 0.3 of a link of 10 Mbit/s
    And every entry hears from all zones

  # Guards against unnecessary messages.
  Scenario: A fleet without requests only says that it is there
    Given 195 entries in 9 zones of 3 regions that tell each other the loads of 539 upstreams
    When nothing is asked for 2 s
    Then each entry sends at most 3 messages a second to its zone's reporter
    And every entry hears from all zones
