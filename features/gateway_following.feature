Feature: An entry follows the store through others

  # Symptom: an entry runs an old configuration for seconds, or for good, while
  # its peer has the newer one. Sequence: the peer's word is too old to be relied
  # on when the change is in it; the next word is fresh and has only what changed
  # since. Cause: the old word was dropped whole, and the change with it.
  Scenario: A change that came in an old word is in force
    Given an entry at configuration 2 that follows a peer
    When the peer gets configuration 4, and its word is 2 s old when it is asked
    And the peer's word is fresh when it is asked again
    Then configuration 4 is in force

  Scenario: An old word that is newer than what is known is taken at once
    Given an entry at configuration 2 that follows a peer
    When the peer gets configuration 4, and its word is 2 s old when it is asked
    Then configuration 4 is in force
    And the entry does not count as in touch with the store

  # Symptom: entries of one zone have a large configuration seconds after the
  # others. Sequence: 1,400 routes are added; a reader behind a small link gives
  # hundreds of kilobytes to each entry of its zone. Cause: it was told as it was stored.
  Scenario: A large configuration is told in few bytes
    Given an entry at configuration 2 that follows a peer
    When the peer gets configuration 4 with 1400 routes, and is asked
    Then configuration 4 is in force
    And the peer told it in less than a tenth of its size

  # Symptom: an entry behind a small link never has a large configuration.
  # Sequence: the store's answer takes longer than the time for a call. Cause: one
  # time for the whole answer, after which it began anew.
  Scenario Outline: An answer that keeps coming is waited for
    Given a server that sends its answer in <pieces> pieces, <pause> s apart
    When it is called with a time of 0.4 s
    Then the call <ends>

    Examples:
      | pieces | pause | ends                  |
      | 8      | 0.15  | brings the whole      |
      | 2      | 1.5   | is given up in 0.4 s  |

  Scenario: Work for a zone goes to the VM that carries most
    Given entries of a zone with links of 10, 100 and 10 Mbit/s
    Then the one with 100 Mbit/s works for the zone, whatever the names

  # Symptom: while the store is away a service refuses many times as much.
  # Sequence: an entry asks a peer for the first time and is told everything.
  # Cause: what upstreams said of their cold start was taken as of now.
  Scenario: What is known already is not taken again from another peer
    Given an entry at configuration 2 that follows a peer
    And an upstream that registered with 3 s of coldness, which are over
    When another peer is asked for the first time, and its word is 2 s old
    Then the upstream is not cold

  # Symptom: requests reach an upstream seconds after it said that it leaves.
  # Sequence: the store's watches hear nothing for a second, then its history is
  # dropped; the listing after that has what was missed, written before the
  # revision that the entry thinks it is at. Cause: it was taken for known.
  Scenario: A listing is taken whole, whatever its changes' revisions
    Given an entry at configuration 2 that follows a peer
    And an upstream that registered with 3 s of coldness, which are over
    When the entry has heard of revision 10, and a listing has the upstream's leaving at revision 5
    Then the upstream is leaving
