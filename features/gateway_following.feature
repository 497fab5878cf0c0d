Feature: An entry follows the store through others

  # Guards against an entry that runs an old configuration for seconds, or for
  # good, while its peer has a newer one. The report with the change was too old
  # to rely on and was dropped whole; the next one has only later changes.
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

  # Guards against entries of a zone that get a large configuration seconds
  # after the others. 1,400 routes are added, and a reader behind a small link
  # sent each entry hundreds of kilobytes, the configuration as it is stored.
  Scenario: A large configuration is told in few bytes
    Given an entry at configuration 2 that follows a peer
    When the peer gets configuration 4 with 1400 routes, and is asked
    Then configuration 4 is in force
    And the peer told it in less than a tenth of its size

  # Guards against an entry behind a small link that never gets a large
  # configuration. The store's response takes longer than the timeout of a call.
  # One timeout covered the whole response, and then the call started again.
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

  # Guards against a service that refuses many times as many requests while the
  # store is down. An entry got the complete state from a peer it queried for
  # the first time, and counted cold starts from the time of the query.
  Scenario: What is known already is not taken again from another peer
    Given an entry at configuration 2 that follows a peer
    And an upstream that registered with 3 s of coldness, which are over
    When another peer is asked for the first time, and its word is 2 s old
    Then the upstream is not cold

  # Guards against requests to an upstream seconds after it reported that it
  # leaves. The store's watches receive nothing for a second, then its history
  # is dropped. The next listing contains the missed changes, with revisions
  # below the one the entry has reached, and they were taken for known.
  Scenario: A listing is taken whole, whatever its changes' revisions
    Given an entry at configuration 2 that follows a peer
    And an upstream that registered with 3 s of coldness, which are over
    When the entry has heard of revision 10, and a listing has the upstream's leaving at revision 5
    Then the upstream is leaving
