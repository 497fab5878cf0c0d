Feature: An entry follows a store that was restored from a copy

  # Guards against an old configuration that stays in force for good.
  Scenario: Changes whose revisions were given out before are read
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And 5 later writes that entry "e1" has read
    When the store is restored and configuration 11 is written
    And it passes the revision that "e1" knew
    And "e1" polls
    Then "e1" uses configuration 11
    And "e1" logs one new epoch

  # Guards against a view that mixes pages of two epochs.
  Scenario: The epoch changes within a listing
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And 600 keys of others before the upstreams
    And a copy of it
    And upstream "i-1" is removed
    And upstream "i-2" registers
    When the store is restored after the first page of a listing by entry "e3"
    Then "e3" uses upstreams "i-1"
    And "e3" has read epoch 2

  # Guards against a poll interval in which a known epoch is not acted on.
  Scenario: The epoch shows first in a renewal
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And "e1" is registered
    And a copy of it
    And "e1" polls by itself, with long pauses
    When the store is restored and configuration 11 is written
    And "e1" renews its registration
    Then "e1" uses configuration 11 within 5 s

  # Guards against an entry that is missing from look-ups for good.
  Scenario Outline: A registration that the copy lacks is written again
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it <moment> "e1" registers
    And "e1" is registered
    When the store is restored
    And "e1" renews its registration
    Then the store has the registration of "e1" under a lease of its own

    Examples:
      | moment                      |
      | before                      |
      | between lease and value, as |

  # Guards against an entry that renews or ends the lease of another one.
  Scenario: A lease whose number was given to another entry
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And entry "e2" that follows the store
    And a copy of it
    And "e1" is registered
    When the store is restored
    And "e2" is registered
    And "e1" renews its registration
    Then the store has the registration of "e1" under a lease of its own
    And the store has the registration of "e2" under a lease of its own

  # Guards against a stopping entry that ends the lease of another one.
  Scenario: A stop after a restore ends no lease of another entry
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And entry "e2" that follows the store
    And a copy of it
    And "e1" is registered
    When the store is restored
    And "e2" is registered
    And "e1" polls
    And "e1" withdraws its registration
    Then the store has the registration of "e2" under a lease of its own

  # Guards against an older configuration of the copy that comes into force.
  Scenario: A configuration that the copy lacks stays in force
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And entry "e2" without the store, which follows "e1"
    And a copy of it
    And configuration 9 is written and read by "e1"
    And "e2" polls
    When the store is restored
    And "e1" polls
    And "e2" polls
    Then "e1" uses configuration 9
    And "e2" uses configuration 9

  # Guards against a fleet that lists a store that has just come back at once.
  Scenario: Many entries learn of the epoch with few listings
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And 24 more entries of the zone, which are registered
    And a copy of it
    And 5 later writes that entry "e1" has read
    When the store is restored and configuration 11 is written
    And all entries renew their registrations and poll twice, the readers first
    Then all entries use configuration 11
    And the store was listed by at most 2 entries
