Feature: A cut answer is tried again only where that does no harm

  Scenario: A cut before the first byte is tried again when that is idempotent
    # Guards against failures that a retry in another region would have avoided.
    # The upstream near the caller dies before it answers, and the entry
    # forwarded the failure.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When orders go to bkk-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: Work that may have run is not tried again
    # Guards against an approval that takes effect twice. The upstream runs it
    # and dies before it answers. A request that must not repeat was retried.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When approvals go to bkk-e0 until an answer is cut
    Then the problem is upstream_lost with 3001, status 502, ran "unknown"
    And it ran once in all

  Scenario: A cut behind the second entry is tried again by the first
    # Guards against a failure although another upstream was free. The upstream
    # behind the second entry dies before it answers, and the first entry took
    # the error response of the second for a final one.
    Given two entries of bkk with upstreams, and an entry in cnx
    And the upstreams of one entry cut their answers before the first byte
    When orders go to cnx-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: A connection that is said to be closed is closed
    # Guards against a caller that keeps a connection to a leaving entry. The
    # entry answers with "Connection: close" but leaves the connection open.
    Given an entry and an upstream each in bkk and cnx
    When bkk-e0 is told to stop
    Then its answers to callers end their connections
