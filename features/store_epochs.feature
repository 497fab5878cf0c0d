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

  # Guards against an upstream that stays in use for good after it has left.
  Scenario: A removal below the last revision from before is applied
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And 9 later writes that entry "e1" has read
    When the store is restored
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    Then "e1" uses upstreams "i-2"

  # Guards against a cold time of 0 for an upstream that has become cold since.
  Scenario: A registration below the last revision from before counts as new
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And 9 later writes that entry "e1" has read
    When the store is restored
    And "e1" polls
    And upstream "i-1" writes that it is cold
    And "e1" polls
    Then upstream "i-1" is cold for "e1"

  # Guards against peers that have seen the new epoch and count as behind.
  Scenario: An entry without the store learns of the epoch from a peer
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And entry "e2" without the store, which follows "e1"
    And a copy of it
    And 9 later writes that entry "e1" has read
    And "e2" polls
    When the store is restored and configuration 11 is written
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    And "e2" polls
    Then "e2" uses configuration 11
    And "e2" uses upstreams "i-2"
    And "e2" logs one new epoch

  # Guards against a removed upstream that a peer of the old epoch brings back.
  Scenario: A peer that has not seen the new epoch is behind
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And entry "e2" without the store, which follows "e1"
    And a copy of it
    And 9 later writes that entry "e1" has read
    And "e2" polls
    When the store is restored
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    And "e1" is asked to follow "e2" alone
    Then "e1" gets nothing
    And "e1" uses upstreams "i-2"

  # Guards against a fault that only the second of two restores shows.
  Scenario: The store is restored twice between two polls
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And 5 later writes that entry "e1" has read
    When the store is restored
    And it passes the revision that "e1" knew
    And the store is restored and configuration 11 is written
    And it passes the revision that "e1" knew
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    Then "e1" uses configuration 11
    And "e1" uses upstreams "i-2"

  # Guards against a grace period that ends before an upstream can be back.
  Scenario: A second restore starts the grace period again
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And upstream "i-2" registers
    And "e1" polls
    When the store is restored
    And "e1" polls
    And 1.5 s later the store is restored
    And "e1" polls
    Then "i-2" is used by "e1" 2 s later
    But it is not used 2.5 s later

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

  # Guards against what lapsed with the restore being dropped at once or kept.
  Scenario: What the restored store lacks is kept for its grace period
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And upstream "i-2" registers
    And zone "b1" is evacuated
    And entry "e2" is registered, which follows the store
    And "e1" polls
    When the store is restored
    And "e1" polls
    Then "e1" uses upstreams "i-1 i-2"
    And "e1" knows "e2" and the evacuation of "b1"
    But 2.5 s later "e1" uses upstreams "i-1"
    And "e1" knows neither "e2" nor the evacuation of "b1"

  # Guards against a second listing that ends the grace period.
  Scenario: Another listing of the epoch leaves the grace period as it is
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And upstream "i-2" registers
    And zone "b1" is evacuated
    And entry "e2" is registered, which follows the store
    And "e1" polls
    When the store is restored
    And "e1" polls
    And the store drops its history, and "e1" polls
    Then "e1" uses upstreams "i-1 i-2"
    And "e1" knows "e2" and the evacuation of "b1"
    But 2.5 s later "e1" uses upstreams "i-1"
    And "e1" knows neither "e2" nor the evacuation of "b1"

  # Guards against a live upstream that is dropped after it has come back.
  Scenario: What is written again in time stays
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And a copy of it
    And upstream "i-2" registers
    And "e1" polls
    When the store is restored
    And "e1" polls
    And upstream "i-2" registers
    And "e1" polls
    Then "i-2" is used by "e1" 2.5 s later

  # Guards against a grace period for what has left since.
  Scenario: What leaves after the first listing is gone at once
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And the store does not answer for a poll of "e1"
    When the store is restored
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    Then "e1" uses upstreams "i-2"

  # Guards against requests to an upstream that the copy brings back.
  Scenario: An upstream that left before is not brought back by the copy
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And upstream "i-1" is removed
    And "e1" polls
    When the store is restored
    And "e1" polls
    Then "e1" uses upstreams "i-2"
    But after upstream "i-1" has written anew "e1" uses upstreams "i-1 i-2"

  # Guards against a warm upstream that the copy's old word makes cold.
  Scenario: A cold start from before the copy is not counted again
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-1" writes that it is cold
    And a copy of it
    And 3 later writes that entry "e1" has read
    And upstream "i-1" is warm for "e1"
    When the store is restored
    And "e1" polls
    Then upstream "i-1" is not cold for "e1"

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

  # Guards against a store without epochs that goes back unnoticed.
  Scenario: A store that states no epoch shows the restore by its revision
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And 9 later writes that entry "e1" has read
    When the store is restored without a new epoch
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    Then "e1" uses upstreams "i-2"

  # Guards against a view that stays with the epochs of a store that is gone.
  Scenario: Another store at the same address starts its epochs again
    Given a store with upstream "i-1" and configuration 7, followed by entry "e1"
    And upstream "i-2" registers
    And a copy of it
    And 9 later writes that entry "e1" has read
    When the store is restored
    And "e1" polls
    And the store starts again with epoch 1
    And "e1" polls
    And upstream "i-1" is removed
    And "e1" polls
    Then "e1" uses upstreams "i-2"
    And "e1" has read epoch 1
    And "e1" asks for changes only
