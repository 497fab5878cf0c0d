Feature: What a caller is told was not run, was not run
  Real processes, as in at_most_once.feature. Every answer with `ran: no` is
  looked for in the journals of all upstreams, by the trace of its sending.

  Scenario: A look-up is lost at one upstream and refused at the next
    Symptom: "not run" of a request that an upstream has in its journal.
    Sequence: bkk runs it and cuts its answer; the retry finds no slot in dmk.
    Cause: the refusal of the second try was taken for the whole request.
    Given a deployment for work that runs at most once, with 1 slots
    And 40 look-ups through bkk and through cnx, which leave room for retries
    When the slot of dmk-u0 is taken for 1500 ms
    And bkk-u0 cuts its next answer
    And a look-up is sent through bkk
    Then the last answer is not from an upstream and may have run
    And what ran agrees with every answer

  Scenario: The refusal of a second dispatch says nothing of the first
    The same as above in the core alone: over real processes steering draws
    the order of the two tries, and only one of the orders meets this.
    Given a request that was dispatched and lost
    When it is dispatched again and refused
    Then it may have run

  Scenario: A forwarded look-up is lost with the entry that had it
    Given a deployment for work that runs at most once, with 1 slots
    And 40 look-ups through bkk and through cnx, which leave room for retries
    When the slot of dmk-u0 is taken for 1500 ms
    And a look-up that takes 800 ms is sent through cnx
    And an upstream runs 2 requests
    And bkk-e0 is killed
    Then the last answer is not from an upstream and may have run
    And what ran agrees with every answer

  Scenario: More is sent than the upstreams can run
    Symptom: a refusal under load for a request that runs a moment later.
    Sequence: queues fill, deadlines pass in them, refused work is sent on.
    Cause: a request is answered while a part of the system still has it.
    Given a deployment for work that runs at most once, with 2 slots
    When 240 requests that take 40 ms are sent through all entries in 2000 ms
    Then at least 20 were not run and at least 20 were answered
    And what ran agrees with every answer

  Scenario: Upstreams refuse and cut while more is sent than they can run
    Given a deployment for work that runs at most once, with 2 slots
    When upstreams drain and cut answers by turns
    And 240 requests that take 40 ms are sent through all entries in 2000 ms
    Then at least 20 were not run and at least 20 were answered
    And what ran agrees with every answer

  Scenario: Kills, freezes, losses and outages in a random order
    Symptom: any key that ran twice, any "not run" that ran.
    Sequence: drawn from a seed.
    Cause: an order of events that nobody thought of.
    Given a deployment for work that runs at most once, with 4 slots
    When keys are sent and repeated for 10 s under random faults of seed 1
    Then what ran agrees with every answer
