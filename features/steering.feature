Feature: Steering keeps work where it can be done
  Drives the core with the test's own clock. Three regions (home, near, far)
  have 20 slots each; the caller is in zone home-a.

  Background:
    Given steering over home, near and far by the profile "local"

  Scenario: Local work stays in its own region while there is headroom
    When all regions report 15 free slots for 5 s
    Then the weight of "home" is 1.00

  Scenario: Local work spills to the nearest region in proportion
    When for 60 s the free slots are home 1, near 15, far 15
    Then the weight of "home" is 0.50
    And the weight of "near" is 0.50
    And the weight of "far" is 0.00

  Scenario: Spread follows free slots within the latency bound
    Given steering over home, near and far by the profile "spread"
    When for 60 s the free slots are home 12, near 7, far 20
    Then the weight of "home" is 0.67
    And the weight of "near" is 0.33
    And the weight of "far" is 0.00

  Scenario: Round robin, the baseline, does not see load
    Given steering over home, near and far by the profile "round_robin"
    When for 60 s the free slots are home 0, near 20, far 20
    Then the weight of "home" is 0.33

  Scenario: A shift lands on cold caches
    # Guards against a receiving region that slows down just when its capacity
    # is needed, because the own region fills up, all requests move at once, and
    # the growth of a weight has no limit.
    When all regions report 15 free slots for 5 s
    And for 20 s the free slots are home 0, near 20, far 20
    Then no weight grew by more than 0.1 in any second
    And the weight of "near" is 1.00

  Scenario: Low priority moves before high priority
    When for 60 s the free slots are home 5, near 20, far 20
    Then the weight of "home" is 1.00
    And the weight of "home" for batch work is 0.00
    And batch work goes to "near" first

  Scenario: Low priority does not jump to a cold region
    # Guards against all overnight work starting in the next region at once
    # after one report of a full region: the own region has no slot for batch
    # work, the others have no weight yet, and a fallback is used as the initial
    # target.
    When all regions report 15 free slots for 5 s
    And one report gives the free slots home 5, near 20, far 20
    Then at most 0.03 of batch work goes to "near", the rest to "home" alone
    And interactive work goes to "home" first

  # Guards against a refusal while the own region has newly freed slots.
  Scenario: The own region is tried last although its report shows no free slot
    When for 60 s the free slots are home 1, near 15, far 15
    And one report gives the free slots home 0, near 15, far 15
    Then urgent work that is sent to another region is tried at "home" last
    And batch work has "home" at most once among its choices

  Scenario: Load reports stop
    # Guards against a silent region ("home") that gets as many requests as
    # before, or more, because its last report, which said idle, is read as a
    # fresh one.
    When all regions report 20 free slots for 5 s
    And only near and far report 20 free slots for 60 s
    Then the weight of "home" never grew after the limit
    And the weight of "home" is 0.02

  Scenario: A silent region with little weight gets no more
    # "near" has a small weight and falls silent, then "home" fills up.
    When for 60 s the free slots are home 1.9, near 15, far 15
    And only home and far report 0 free slots for 30 s
    Then the weight of "near" never grew after the limit

  Scenario: All reports stop
    # Without any report nothing may move: every region looks as idle as the
    # others, and none of them is known to be.
    When for 60 s the free slots are home 1, near 15, far 15
    And nobody reports for 60 s
    Then the weight of "home" is 0.50
    And the weight of "near" is 0.50

  Scenario: Reports frozen at idle while answers fail
    # Guards against requests to a region that fails all of them, because its
    # idle load reports and good health outweigh its responses.
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 10 s while "home" fails requests
    Then the weight of "home" never grew
    And the weight of "home" is at most 0.02

  Scenario: A region that fails everything is left sooner than by the ramp
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 4 s while "home" fails requests
    Then the weight of "home" is at most 0.02

  Scenario: Reports frozen at idle while work is refused
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 30 s while "home" refuses requests
    Then the weight of "home" is at most 0.03
    And the weight of "home" for batch work is 1.00

  Scenario: Reports frozen at idle while answers get slow
    Given steering over home, near and far by the profile "spread"
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 10 s while "home" answers in 10 ms
    And all regions report 20 free slots for 20 s while "home" answers in 100 ms
    Then the weight of "home" is at most 0.35

  Scenario: Work for a failing region does not cross the ramp of its health
    # Guards against a region that fails everything and is left and used again
    # in turns.
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 120 s while "home" fails requests
    Then the weight of "home" never grew
    And the weight of "near" is 0.98

  Scenario: A region that recovers is noticed and grows by the ramp
    When all regions report 20 free slots for 5 s
    And all regions report 20 free slots for 10 s while "home" fails requests
    And all regions report 20 free slots for 60 s while "home" answers in 10 ms
    Then no weight grew by more than 0.1 in any second since "home" answered
    And the weight of "home" is 1.00

  Scenario: A region is lost
    # Guards against requests that go to a region whose entries are all silent
    # ("home"), or that all go to a neighbour with few slots left ("near").
    When all regions report 15 free slots for 5 s
    And one report gives the free slots home 15, near 4, far 20
    And the region "home" is lost
    Then the weight of "home" is 0.00
    And batch work sent to "near" is tried nowhere else
    And interactive work goes to "near" first

  Scenario: A process starts and hears the far region first
    # Guards against callers served from far away for seconds after each start:
    # "near" has slots before the home roles of "home" are assigned, and the
    # region heard first gets all requests and keeps them because of the ramp.
    When "home" reports that it has no slots
    And only near and far report 20 free slots for 1 s
    Then the weight of "near" is 1.00
    When all regions report 20 free slots for 1 s
    Then the weight of "home" is 1.00

  Scenario: A lost region comes back cold
    When all regions report 15 free slots for 5 s
    And the region "home" is lost
    And all regions report 15 free slots for 5 s
    And the region "home" is back
    And all regions report 15 free slots for 20 s
    Then no weight grew by more than 0.1 in any second since "home" was back
    And the weight of "home" is 1.00

  Scenario: A link without headroom takes no spilled work
    When the link to "near" has a headroom of 0.0
    And for 60 s the free slots are home 0, near 20, far 20
    Then the weight of "near" is 0.00

  Scenario: Every request between two reports does not see the same slot
    # Guards against bursts above the slots of a region at each of its reports,
    # because requests sent since the last report are not counted.
    When one report gives the free slots home 5, near 0, far 0
    Then upload work goes to "home" first
    When 3 requests are sent to "home"
    Then upload work has "home" as its only choice

  Scenario: A digest that takes long over its relays counts for its own limit
    # Guards against a large fleet in which no excess work ever reaches a far
    # region: its load arrives by digests 5 s old, older than the limit for
    # reports of the entries nearby, and one limit is used for both.
    When for 30 s a digest 5 s old with a limit of 15 s gives "near" 15 free
    And for 30 s the same digest comes while "home" reports 0 free
    Then the weight of "near" is 1.00
    When nobody reports for 12 s
    Then "near" is no longer known
