Feature: What leaves gets no new work, and nothing in flight is cut off
  Each component is a separate process: platform, upstreams, entries, callers.

  Scenario: Upstreams leave by the operator, by the VM list, by their own word
    # Guards against a VM that is stopped after its drain with requests in
    # flight, because one of the three sources is ignored or overruled by
    # another.
    Given a steady deployment of 2 entries and 4 upstreams in bkk
    And look-ups arrive at 40 a second
    When long work runs on upstream "bkk-u0", "bkk-u1" and "bkk-u2"
    And "bkk-u0" is marked by the operator, "bkk-u1" by the VM list, "bkk-u2" by itself
    And the platform goes out 1.5 s later
    Then no work starts on those three from 3 s after the mark for 2 s
    And the long work on them ended whole, and their drains are shown as done
    When the platform is on again and the marks are taken back
    Then work starts on those three again within 10 s
    And no look-up failed

  Scenario: A home starts while the VM list is out
    # Guards against a leaving VM that gets new requests: the VM list marks an
    # upstream and goes down, and the restarted home takes the missing list for
    # a list without marks.
    Given a steady deployment of 2 entries and 1 upstreams in bkk
    When the VM list marks "bkk-u0" and goes out, and its home restarts
    Then requests through each entry are refused and "bkk-u0" starts no work

  Scenario: A duty does not come before the word on who leaves
    # Guards against the same (about one run in ten): a peer's heartbeat with
    # the marks of the list and its home report arrive just before the restarted
    # home has the table that lists both, and only the report is applied.
    Given a home that has just started, without the VM list and the entry table
    When a peer's heartbeat and its report of duties come
    Then the duty was taken, with the peer's mark known before

  Scenario: A mark that only one entry has read outlives that entry
    # Guards against the same (about one run in thirty): one entry reads the
    # mark and restarts while the VM list is down, and another entry, which
    # could not read it, discards the mark that the first one reported.
    Given a home that has just started, without the VM list and the entry table
    When a peer's heartbeat and its report of duties come
    And the VM list, read before that word, goes out, and the peer leaves
    Then the upstream takes no new work here
    When its next process says that none leaves
    Then the upstream takes no new work here
    And the entry tells others that it leaves
    When the VM list, read after that word, goes out
    Then the upstream takes its share of work here

  Scenario: Rolling restarts under load with callers that cache look-ups
    # Guards against a planned stop that interrupts requests: callers still use
    # an entry that their cached lookup names, the entry ends before its
    # requests, or its upstreams stay idle.
    Given a steady deployment of 3 entries and 3 upstreams in bkk
    When callers send 60 requests a second while 4 entries restart in turn
    Then each stop ended with exit code 0
    And each request was answered 200, or refused as not run and done later
    And no key ran twice, and no upstream had more than its slots

  Scenario: A home gives its upstream away while claims are on their way
    # Guards against an approval that did not run but is answered 409, may have
    # run: a leaving home that has not dispatched it refuses it before the
    # release of its key is written, and the next home, which gets it at once,
    # finds the key claimed.
    Given a steady deployment of 2 entries and 1 upstreams in bkk
    And the platform takes 200 ms for a call
    When approvals arrive every 60 ms for 3 s while the home of "bkk-u0" stops
    Then each approval was answered 200, or refused as not run

  Scenario: Uploads and downloads are under way when their entry stops
    # Guards against an upload that is interrupted whenever an entry is
    # replaced.
    Given a steady deployment of 2 entries and 2 upstreams in bkk
    When a slow upload, a slow download and long work run through "bkk-e0"
    And "bkk-e0" is stopped
    Then each of them ends whole
    And "bkk-e0" ended with exit code 0 after them

  # Guards against an upload refused with no_slot although four of six slots are
  # free: slow start opens slots when responses arrive, and on two upstreams
  # that have just started, a slowly read download and a long request give none.
  # The signs are 1 and 2 usable slots of 3 at each refusal, and no refusal with
  # a quick download.
  Scenario: An upload comes while a download and long work hold cold upstreams
    Given a steady deployment of 2 entries and 2 upstreams in bkk
    When a slow upload, a slow download of 40 MB and long work run through "bkk-e0"
    Then each of them ends whole

  Scenario: An entry stops while the platform is out
    Given a steady deployment of 2 entries and 2 upstreams in bkk
    And look-ups arrive at 40 a second
    When the platform goes out and "bkk-e0" is stopped
    Then "bkk-e0" ended with exit code 0 within 12 s
    And no look-up was cut off
    When the platform is on again
    Then the homes of "bkk-e0" are taken over within 10 s

  Scenario: An entry is killed and the VM list drops it
    # Guards against upstreams that stay idle, or get more requests than slots
    # from a new home, after their home is killed with requests in flight and
    # the VM list drops its VM later.
    Given a steady deployment of 3 entries and 3 upstreams in bkk with short deadlines
    When the home of "bkk-u0" is killed with work running, and the VM list drops it
    Then "bkk-u0" takes work again within 12 s
    And no upstream had more than its slots
