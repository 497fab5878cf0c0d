Feature: Work that must not repeat runs at most once
  Runs real processes: a platform, upstreams in two regions, and an entry in
  each of three regions. cnx has no upstream, so its requests are forwarded.
  Upstreams journal each run with the trace of the request that caused it.

  Scenario: An entry is killed before its claim holds
    Covers a dead entry's pending write, which nobody waits for. The claim is
    pending at the platform, the entry dies, and its call is lost. No fault may
    be visible: the caller retries and the request runs once.
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
    Covers a key that stays claimed although its request never ran. The claim is
    written, its response is lost, the platform goes down, and the entry dies
    before it can read back or release the claim. Nobody knows whether the dead
    entry had dispatched the request, so no entry may take its claim over.
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
    Guards against an approval that runs twice. The upstream works, the entry
    dies, the caller retries, and the retry meets a claim without an outcome.
    Given a deployment for work that runs at most once
    When "k" is sent through bkk and takes 1500 ms
    And an upstream has "k"
    And bkk-e0 is killed
    Then repeats of "k" through dmk come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The entry that forwards is killed after the dispatch
    Guards against an approval that ran with an unknown outcome. cnx forwards,
    the upstream works, and cnx dies, so the home loses the entry that forwarded
    the request.
    Given a deployment for work that runs at most once
    When "k" is sent through cnx and takes 800 ms
    And an upstream has "k"
    And cnx-e0 is killed
    Then repeats of "k" through bkk come to the recorded answer
    And "k" ran once
    And what ran agrees with every answer

  Scenario: The entry that dispatched for another is killed
    Guards against an approval that runs twice, the second time in another
    region. cnx forwards to the home, the upstream works, and the home dies. The
    forwarding entry lost a response and must not send the request elsewhere.
    Given a deployment for work that runs at most once
    When "k" is sent through cnx and takes 1500 ms
    And an upstream has "k"
    And the home of that upstream is killed
    Then the answer is entry_lost with ran unknown
    And repeats of "k" through cnx come to outcome_unknown
    And "k" ran once
    And what ran agrees with every answer

  Scenario: An entry is killed right after the answer
    Guards against an approval that runs twice. The caller has its response, and
    the entry dies before it records the outcome, which is written after the
    response.
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
    Guards against an approval that runs long after its caller gave up. The
    claim is written, the entry freezes, the deadline passes, and the entry
    wakes and continues where it was, with a valid claim.
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
    Guards against a claim that no entry holds, or that two entries hold. The
    claim takes effect, and the connection closes before its response. A lost
    response looks like a lost call.
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
    Guards against callers left waiting and approvals that run without a claim.
    The platform closes every connection and comes back later. Without the
    platform no entry can tell whether a key is new.
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
    Guards against a claim that takes effect after its caller was told "not
    run". Calls take 2 s, and the claim is abandoned, but its write takes effect
    later: abandoning a write does not undo it.
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
    Guards against an approval that runs twice. A caller sends it to all known
    entries at once, and three entries find the key free at the same time.
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
    Guards against an approval reported as "not run" that runs shortly after.
    All slots are taken, the deadline passes, and a slot becomes free while the
    request is still in a queue and its response is being written.
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
    Guards against an approval that ran with an unknown outcome. The caller's
    connection breaks while the upstream works. A request that must not repeat
    was cancelled with its caller.
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
    Guards against a caller that is told "not run" of an approval that ran. The
    approval runs, the caller repeats it, and no slot is free. The repeated
    request was refused before its key was looked up.
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
