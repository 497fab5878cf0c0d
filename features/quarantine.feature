Feature: A request that crashes upstreams is stopped
  Drives the core with the test's own clock; entries exchange the marks of their
  heartbeats.

  Scenario: A request that crashes upstreams is stopped after two
    # Guards against upstreams that die one after another because no entry knows
    # what the others observed: after each crash the caller sends the request
    # again through the next entry, 20 times over three entries.
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
    # Guards against a request that stays quarantined forever, because each
    # entry forgets a mark and receives it again from a peer whose copy lasts
    # longer by the time that the message took.
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
    # Guards against a third upstream that sometimes dies on a busy host: two
    # upstreams die 13 ms apart, the second announcement is dropped because it
    # follows within 20 ms, and an entry that knows only of the first runs the
    # request again.
    Given announcements that are spaced by 20 ms
    When strikes come at 0, 13 and 16 ms
    Then they are announced at 0, 13 and 16 ms

  Scenario Outline: A heartbeat that is held up does not make a strike a later one
    # Guards against lookups of one path that are refused with "quarantined" for
    # minutes through one entry only, after the loss of a rack: two upstreams
    # die 5 ms apart, each 200 ms into the same lookup, and the age in a delayed
    # report of the first strike is taken for its age at arrival, so its lookup
    # seems to have started after the other strike.
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

  # Guards against a lookup that is refused because another one had just started
  # at an upstream when it ended.
  Scenario: Look-ups that had just begun at an upstream do not make its end a later one
    Given quarantines of 2 entries whose heartbeats usually take 30 ms
    When upstreams of both die 5 ms apart while they run one look-up for 200 ms
    And one of that look-up that ran for 1 ms is lost at the second as well
    And the heartbeats that tell it take 30 ms
    Then the request is not quarantined on any entry
