Feature: A request that crashes upstreams is stopped
  The pure core is driven with a clock of the test's own; entries exchange the
  marks of their heartbeats.

  Scenario: A request that crashes upstreams is stopped after two
    # Symptom: upstreams die one after another.
    # Events: the request runs, its upstream dies, the caller sends it again
    # through the next entry, 20 times over three entries.
    # Cause: no entry knew what the others had seen.
    Given quarantines of 3 entries that exchange heartbeats
    When a crashing request is sent 20 times, each time to the next entry
    Then 2 upstreams were crashed
    And the request is quarantined on every entry
    And another request is clear on every entry

  Scenario: Marks are taken in twice
    Given quarantines of 3 entries that exchange heartbeats
    When entry 0 has one strike and its marks are taken in 5 times by entry 1
    Then entry 1 tells the request to run alone

  Scenario: Marks end although entries repeat them to each other
    # Symptom: a request stays quarantined for ever.
    # Events: each entry forgets a mark and learns it again from a peer whose
    # copy runs a little longer, by the time the message took.
    Given quarantines of 3 entries that exchange heartbeats
    When a crashing request is sent 20 times, each time to the next entry
    And 330 s pass with heartbeats that take 3 s
    Then the request is clear on every entry

  Scenario: Marks in heartbeats are bounded and each gets its turn
    Given quarantines of 3 entries that exchange heartbeats
    When entry 0 has strikes against 100 requests
    Then each digest of entry 0 has at most 16 marks
    And 7 heartbeats carry all 100 to entry 1

  Scenario: A second strike soon after the first is told at once
    # Symptom: now and then a third upstream dies on a busy machine.
    # Events: two upstreams die 13 ms apart; the caller goes to an entry that
    # has heard of the first only, and that one runs the request once more.
    # Cause: announcements within 20 ms of one another were dropped.
    Given announcements that are spaced by 20 ms
    When strikes come at 0, 13 and 16 ms
    Then they are announced at 0, 13 and 16 ms

  Scenario: A lost rack's strikes are told in few announcements, the last too
    Given announcements that are spaced by 20 ms
    When 200 strikes come within 10 ms
    Then 5 announcements are made, the last one 20 ms after the first
