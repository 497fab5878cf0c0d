Feature: The stand-ins behave as the things they stand for

  All failure tests rely on what the stand-ins do and record, so these scenarios
  test that behaviour separately.

  Scenario: Of two creations of one key only the first holds
    Given a platform
    When "first" is created at "claims/k1"
    And "second" is created at "claims/k1"
    Then the creations held: yes, no
    And "claims/k1" holds "first" at version 1

  Scenario: One transaction settles several claims by themselves
    Given a platform
    And "old" is created at "claims/k2"
    When one transaction creates "new" at each of "claims/k1,claims/k2,claims/k3"
    Then the creations held: yes, no, yes
    And "claims/k2" holds "old" at version 1
    And "claims/k1" and "claims/k3" were written at one revision

  Scenario: One transaction may not put a key twice
    Given a platform
    When one transaction creates "new" at each of "claims/k1,claims/k1"
    Then the platform refused with "duplicate key given in txn request"
    And "claims/k1" is absent

  Scenario: A write takes effect while its answer is lost
    # Covers a write whose outcome the writer cannot know: it is applied, then
    # the connection closes without a response, because the platform or the path
    # to it fails between the two.
    Given a platform
    And the platform's fault "lose_answers" is 1
    When "mine" is created at "claims/k1"
    Then the call got no answer
    And "claims/k1" holds "mine" at version 1

  Scenario: A write is lost before it takes effect
    # Covers the same closed connection when the write is not applied: the
    # writer cannot distinguish this from a lost response, so it must read the
    # key.
    Given a platform
    And the platform's fault "lose_calls" is 1
    When "mine" is created at "claims/k1"
    Then the call got no answer
    And "claims/k1" is absent

  Scenario: A lease lapses and a watch tells of it
    # Covers a holder that finds its key gone because it does not renew a lease
    # of one second, as in a pause longer than the lease.
    Given a platform
    And a watch on "members/" from the first revision
    When "a" is put at "members/a" under a lease of 1 s
    Then the watch tells of a put of "members/a"
    And the watch tells of a deletion of "members/a"
    And the platform counts 1 waiting watch

  Scenario: An outage closes calls and waiting watches
    # Covers an outage of the service: nothing of the platform answers, and a
    # waiting watch ends.
    Given a platform
    And a watch on "members/" from the first revision
    When the platform's fault "down" is true
    Then the watch ends
    And a read of "members/a" gets no answer
    When the platform's fault "down" is false
    Then "members/a" is absent

  Scenario: The VM list lags
    Given a platform
    And the platform's fault "vm_list_lag_ms" is 600
    When the VM list is set to "a"
    And the VM list is set to "a,b"
    Then the VM list shows "a"
    And the VM list shows "a,b" within 3 s

  Scenario: An upstream refuses work over its slots without running it
    Given an upstream with 2 slots
    When 3 requests of 400 ms are sent at once
    Then 2 were answered 200 and 1 was refused as "not-run"
    And the upstream's journal has 2 runs, 2 at most at once
    And no refused request is in the journal

  Scenario: A draining upstream finishes what runs and takes nothing new
    Given an upstream with 2 slots
    When a request of 500 ms is running
    And the upstream's control "draining" is true
    Then a new request is refused as "draining"
    And the running request is answered 200

  Scenario: A caller that leaves frees the slot
    # Covers a caller that closes its connection 200 ms into 5 s of work: an
    # upstream that misses it would keep a slot in use that nobody waits for.
    Given an upstream with 1 slots
    When a caller leaves after 200 ms of 5000 ms
    Then the journal's last run is "cancelled" after at most 1 s
    And a new request is answered 200

  Scenario: Work past its deadline is given up
    Given an upstream with 1 slots
    When a request of 5000 ms has a deadline of 200 ms
    Then it is answered 504 within 2 s
    And the journal's last run is "deadline" after at most 1 s

  Scenario: A marked request stops the upstream
    # Covers an upstream that ends and closes the connection without a response,
    # because the content of one well-formed request crashes it.
    Given an upstream with 1 slots
    When a request marked as crashing is sent
    Then the call got no answer
    And the upstream has ended
    And the journal file tells of 1 run

  Scenario: An answer is cut short
    Given an upstream with 1 slots
    When the next answer is cut after 1000 bytes
    Then an answer of 5000 bytes breaks off at 1000
    And an answer of 5000 bytes is whole

  Scenario: A load report lies
    Given an upstream with 2 slots
    When the upstream's control "load" is "lie"
    And a request of 300 ms is running
    Then its load report says 0 busy

  Scenario: Large bodies pass both ways in little memory
    Given an upstream with 1 slots
    Then 64 MiB up and 64 MiB down pass whole while it grows by at most 16 MiB

  Scenario: A caller records whole answers, and does not resend a cut one
    Given an upstream with 20 slots
    When a caller sends 20 requests straight to it
    Then the caller recorded 20 whole answers to its own requests
    When the next answer is cut after 0 bytes
    And a caller sends 1 request straight to it
    Then the caller recorded 1 answer of unknown outcome after 1 attempt

  Scenario: A caller goes on to the next entry when one refuses connections
    # Covers a cached lookup that outlives an entry that it names: the entry's
    # process has ended and accepts no connection when the caller sends its next
    # request.
    Given an upstream with 20 slots
    And an entry that takes no connections comes first
    When a caller sends 10 requests straight to it
    Then the caller recorded 10 whole answers to its own requests
    And each took 2 attempts

  # Guards against a run that goes on after its caller has closed at once.
  Scenario: A request whose caller closes at once is cancelled
    Given an upstream with 40 slots
    When 30 requests of 2 s are sent and closed while the upstream stands still
    Then the upstream has begun 30 runs, and all are cancelled within 1 s
