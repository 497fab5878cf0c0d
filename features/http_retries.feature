Feature: A cut answer is tried again only where that does no harm

  Scenario: A cut before the first byte is tried again when that is idempotent
    # Guards against a caller that gets the failure of an upstream that died
    # before it answered, although a retry in another region would have
    # succeeded.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When orders go to bkk-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: Work that may have run is not tried again
    # Guards against an approval that takes effect twice because it is retried
    # after its upstream ran it and died before it answered.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When approvals go to bkk-e0 until an answer is cut
    Then the problem is upstream_lost with 3001, status 502, ran "unknown"
    And it ran once in all

  Scenario: A cut behind the second entry is tried again by the first
    # Guards against a failure while another upstream is free: the upstream
    # behind the second entry dies before it answers, and the first entry takes
    # the error response of the second for a final one.
    Given two entries of bkk with upstreams, and an entry in cnx
    And the upstreams of one entry cut their answers before the first byte
    When orders go to cnx-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: A connection that is said to be closed is closed
    # Guards against a caller that keeps a connection to a leaving entry,
    # because the entry answers with "Connection: close" but leaves it open.
    Given an entry and an upstream each in bkk and cnx
    When bkk-e0 is told to stop
    Then its answers to callers end their connections
