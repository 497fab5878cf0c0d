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
