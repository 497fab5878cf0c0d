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

  Scenario Outline: A heartbeat that is held up does not make a strike a later one
    # Symptom: after a rack was lost, look-ups of one path are refused with
    # "quarantined" through one entry only, for minutes.
    # Events: two upstreams die 5 ms apart, each 200 ms into the same look-up; the
    # word of the first strike is held up on its way to the entry of the second.
    # Cause: the strike was taken for as old as its word said at its arrival, so
    # its look-up seemed to have started after the other strike.
    Given quarantines of 2 entries whose heartbeats usually take 30 ms
    When upstreams of both die 5 ms apart while they run one look-up for 200 ms
    And the heartbeats that tell it take <held_ms> ms
    Then the request is not quarantined on any entry

    Examples: as usual, and held up for longer than the look-up ran
      | held_ms |
      | 30      |
      | 250     |
      | 900     |

  Scenario: A strike that is really later counts though its word is held up
    Given quarantines of 2 entries whose heartbeats usually take 30 ms
    When upstreams of both die 300 ms apart while they run one look-up for 100 ms
    And the heartbeats that tell it take 900 ms
    Then the request is quarantined on every entry

  Scenario: A lost rack's strikes are told in few announcements, the last too
    Given announcements that are spaced by 20 ms
    When 200 strikes come within 10 ms
    Then 5 announcements are made, the last one 20 ms after the first

  # Guards against a look-up being refused because another one had just begun where an upstream ended.
  Scenario: Look-ups that had just begun at an upstream do not make its end a later one
    Given quarantines of 2 entries whose heartbeats usually take 30 ms
    When upstreams of both die 5 ms apart while they run one look-up for 200 ms
    And one of that look-up that ran for 1 ms is lost at the second as well
    And the heartbeats that tell it take 30 ms
    Then the request is not quarantined on any entry
