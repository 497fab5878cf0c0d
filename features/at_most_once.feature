Feature: Work that must not repeat runs at most once
  Real processes: a platform, upstreams in two regions, and an entry in each
  of three regions; cnx has no upstream, so what is sent there is forwarded.
  Upstreams journal each run with the trace of the sending that caused it.

  Scenario: An entry is killed before its claim holds
    Symptom: none may be seen; the caller sends again and the work runs once.
    Sequence: the claim waits at the platform, the entry dies, the call is lost.
    Cause: a dead entry leaves a write that nobody awaits.
    Given a deployment for work that runs at most once
    And the platform takes 400 ms for a call and loses the next claim
    When "k" is sent through bkk
    And the claim has arrived at the platform
    And bkk-e0 is killed
    And the platform is well again
    And "k" is sent through dmk
    Then the last answer is from an upstream
    And "k" ran once
    And what ran agrees with every answer

  Scenario: An entry is killed between its claim and its dispatch
    Symptom: a key that stays claimed and never ran.
    Sequence: the claim holds, its answer is lost, the platform goes out, the
    entry dies before it can read back or give the claim up.
    Cause: whether the dead entry had dispatched is known to nobody, so nobody
    may take its claim over.
    Given a deployment for work that runs at most once
    And the platform loses the next claim's answer and goes out
    When "k" is sent through bkk
    And the claim holds at the platform
    And bkk-e0 is killed
    And the platform is well again
    Then repeats of "k" through dmk come to outcome_unknown
    And "k" never ran
    And what ran agrees with every answer

  Scenario: An entry is killed after its dispatch
    Symptom: an approval booked twice.
    Sequence: the upstream works, the entry dies, the caller sends again.
    Cause: the repeat meets a claim without an outcome.
    Given a deployment for work that runs at most once
    When "k" is sent through bkk and takes 1500 ms
    And an upstream has "k"
    And bkk-e0 is killed
    Then repeats of "k" through dmk come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The entry that forwards is killed after the dispatch
    Symptom: an approval that ran and whose outcome nobody can tell.
    Sequence: cnx forwards, the upstream works, cnx dies.
    Cause: the entry beside the upstream lost the one that asked it.
    Given a deployment for work that runs at most once
    When "k" is sent through cnx and takes 800 ms
    And an upstream has "k"
    And cnx-e0 is killed
    Then repeats of "k" through bkk come to the recorded answer
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The entry that dispatched for another is killed
    Symptom: an approval booked twice, in another region.
    Sequence: cnx forwards to the home, the upstream works, the home dies.
    Cause: the forwarding entry lost an answer and may not send elsewhere.
    Given a deployment for work that runs at most once
    When "k" is sent through cnx and takes 1500 ms
    And an upstream has "k"
    And the home of that upstream is killed
    Then the answer is entry_lost with ran unknown
    And repeats of "k" through cnx come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: An entry is killed right after the answer
    Symptom: an approval booked twice.
    Sequence: the caller has its answer, the entry dies before it recorded it.
    Cause: the outcome is brought in behind the caller's back.
    Given a deployment for work that runs at most once
    When "k" is sent through bkk
    Then the answer is from an upstream
    When bkk-e0 is killed
    Then repeats of "k" through dmk are never run
    And what ran agrees with every answer

  Scenario: An entry is killed after it recorded the answer
    Given a deployment for work that runs at most once
    When "k" is sent through bkk
    Then the answer is from an upstream
    When the outcome of "k" has been recorded
    And bkk-e0 is killed
    And "k" is sent through dmk
    Then the last answer is the same as the first
    And "k" ran once
    And what ran agrees with every answer

  Scenario: An entry is frozen between claim and dispatch past the deadline
    Symptom: an approval that runs long after its caller gave up on it.
    Sequence: the claim holds, the entry freezes, the deadline passes, it thaws.
    Cause: a frozen process goes on where it was, with a claim in its hands.
    Given a deployment for work that runs at most once
    And the platform takes 400 ms for a call and loses the next claim's answer
    When "k" is sent through bkk with 1500 ms left
    And the claim holds at the platform
    And bkk-e0 is frozen
    And the platform is well again
    And 1700 ms pass
    And bkk-e0 is thawed
    Then the answer is deadline_passed with ran no
    And "k" never ran
    When "k" is sent through bkk
    Then the last answer is from an upstream
    And "k" ran once
    And what ran agrees with every answer

  Scenario: An entry is frozen after its dispatch past the deadline
    Given a deployment for work that runs at most once
    When "k" is sent through bkk with 1000 ms left and takes 600 ms
    And an upstream has "k"
    And bkk-e0 is frozen
    And 1200 ms pass
    And bkk-e0 is thawed
    Then the answer may have run
    And repeats of "k" through dmk are never run
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The answers to claims are lost
    Symptom: a claim that nobody holds, or one that two entries hold.
    Sequence: a claim takes effect, the connection closes before its answer.
    Cause: a lost answer looks like a lost call.
    Given a deployment for work that runs at most once
    When the platform loses the next claim's answer
    And "k" is sent through bkk
    Then the answer is from an upstream
    When the platform loses the next claim
    And "m" is sent through bkk
    Then the last answer is from an upstream
    And "k" ran once
    And "m" ran once
    And what ran agrees with every answer

  Scenario: The platform is out
    Symptom: callers that wait, or approvals that run without a claim.
    Sequence: the platform closes every connection; later it is back.
    Cause: without the platform nobody can say that a key is new.
    Given a deployment for work that runs at most once
    When the platform is out
    And "k" is sent through bkk
    And "m" is sent through cnx
    Then each answer is claim_unavailable with ran no within 400 ms
    And each answer says when to come back
    When the platform is well again
    And 500 ms pass
    Then "k" never ran
    And "m" never ran
    When "k" is sent through dmk
    Then the last answer is from an upstream
    And what ran agrees with every answer

  Scenario: The platform is slow
    Symptom: a claim that takes effect after its caller was told "not run".
    Sequence: calls take 2 s, the claim is given up, its write holds later.
    Cause: giving up on a write does not take it back.
    Given a deployment for work that runs at most once
    When the platform takes 2000 ms for a call
    And "k" is sent through bkk
    Then the answer is claim_unavailable with ran no
    And each answer says when to come back
    When the platform is well again
    And 2500 ms pass
    Then "k" never ran
    And repeats of "k" through bkk come to the recorded answer
    And "k" ran once
    And what ran agrees with every answer

  Scenario: One key is sent to three entries at once
    Symptom: an approval booked twice.
    Sequence: a caller sends to all it knows instead of waiting.
    Cause: three entries find the key free at the same moment.
    Given a deployment for work that runs at most once
    When 12 keys are each sent through all entries at once
    Then each key ran once
    And what ran agrees with every answer

  Scenario: The connection to the upstream is lost before its answer
    Given a deployment for work that runs at most once
    When upstreams cut their next answer after 0 bytes
    And "k" is sent through bkk
    Then the answer is upstream_lost with ran unknown
    And repeats of "k" through cnx come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The connection to the upstream is lost inside its answer
    Given a deployment for work that runs at most once
    When upstreams cut their next answer after 20 bytes
    And "k" is sent through bkk
    Then the answer is upstream_lost with ran unknown
    And repeats of "k" through dmk come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The connection to the upstream is lost inside a long answer
    Given a deployment for work that runs at most once
    When upstreams cut their next answer after 150000 bytes
    And "k" is sent through bkk and answers 300000 bytes
    Then the last answer is cut
    And repeats of "k" through dmk come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The deadline passes while a request waits for a slot
    Symptom: an approval told "not run" that runs a moment later.
    Sequence: all slots are taken, the deadline passes, a slot comes free.
    Cause: what waits is still in a queue when its answer is written.
    Given a deployment for work that runs at most once, with 1 slots
    When every slot is taken for 900 ms
    And "k" is sent through bkk with 300 ms left
    Then the last answer was not run
    When 1000 ms pass
    Then "k" never ran
    And what ran agrees with every answer

  Scenario: The deadline passes after the dispatch
    Given a deployment for work that runs at most once
    When "k" is sent through cnx with 400 ms left and takes 1500 ms
    Then the answer may have run
    And repeats of "k" through bkk come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The caller leaves while its work runs
    Symptom: an approval that ran and whose outcome nobody can tell.
    Sequence: the caller's connection breaks, the upstream works on.
    Cause: work that must not repeat was cancelled with its caller.
    Given a deployment for work that runs at most once
    When "k" is sent through cnx and takes 600 ms
    And an upstream has "k"
    And its caller leaves
    Then repeats of "k" through bkk come to the recorded answer
    And "k" ran once
    And what ran agrees with every answer

  Scenario: A repeat through another entry gets the recorded answer
    Given a deployment for work that runs at most once
    When "k" is sent through bkk
    And "k" is sent through bkk
    Then the last answer is the same as the first
    When the outcome of "k" has been recorded
    And "k" is sent through dmk
    Then the last answer is the same as the first
    When "k" is sent through cnx
    Then the last answer is the same as the first
    And "k" ran once
    And what ran agrees with every answer

  Scenario: A repeat finds every slot taken
    Symptom: a caller is told "not run" of an approval that ran.
    Sequence: the approval runs, the caller repeats it, no slot is free.
    Cause: the repeat is refused before anybody has looked its key up.
    Given a deployment for work that runs at most once, with 1 slots
    When "k" is sent through bkk
    And the outcome of "k" has been recorded
    And every slot is taken for 1500 ms
    And "k" is sent through cnx
    Then the last answer is the same as the first
    And "k" ran once
    And what ran agrees with every answer

  Scenario: A key comes back with another request
    Given a deployment for work that runs at most once
    When "k" is sent through bkk
    And the outcome of "k" has been recorded
    And another request is sent under "k" through bkk
    Then the last answer is key_reused with ran no
    When another request is sent under "k" through dmk
    Then the last answer is key_reused with ran no
    And "k" ran once
    And what ran agrees with every answer
