Feature: A cut answer is tried again only where that does no harm

  Scenario: A cut before the first byte is tried again when that is idempotent
    # Symptom: callers see failures that another region could have spared them.
    # Sequence: the upstream near the caller dies before it answers.
    # Cause: an entry that passes its upstream's failure on.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When orders go to bkk-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: Work that may have run is not tried again
    # Symptom: an approval takes effect twice.
    # Sequence: the upstream runs it and dies before it answers.
    # Cause: a retry of work that must not repeat.
    Given an entry and an upstream each in bkk and cnx
    And bkk-u0 cuts its answers before the first byte
    When approvals go to bkk-e0 until an answer is cut
    Then the problem is upstream_lost with 3001, status 502, ran "unknown"
    And it ran once in all

  Scenario: A cut behind the second entry is tried again by the first
    # Symptom: a caller sees a failure though another upstream was free.
    # Sequence: the upstream behind the second entry dies before it answers.
    # Cause: the first entry takes the second's problem for a whole answer.
    Given two entries of bkk with upstreams, and an entry in cnx
    And the upstreams of one entry cut their answers before the first byte
    When orders go to cnx-e0 until an answer is cut
    Then the answer is whole nevertheless

  Scenario: A connection that is said to be closed is closed
    # Symptom: a caller keeps a connection to an entry that is going away.
    # Sequence: the entry leaves; it answers with "Connection: close".
    # Cause: an answer that says so on a connection that stays open.
    Given an entry and an upstream each in bkk and cnx
    When bkk-e0 is told to stop
    Then its answers to callers end their connections
