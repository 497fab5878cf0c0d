Feature: What a caller is told was not run, was not run
  Runs real processes, as in at_most_once.feature. Every response with `ran: no`
  is compared with the journals of all upstreams by the trace of its request.

  Scenario: A look-up is lost at one upstream and refused at the next
    Guards against a response "not run" for a request that an upstream has in
    its journal: bkk runs it and truncates its response, the retry finds no slot
    in dmk, and the refusal of the retry is taken for the whole request.
    Given a deployment for work that runs at most once, with 1 slots
    And 40 look-ups through bkk and through cnx, which leave room for retries
    When the slot of dmk-u0 is taken for 1500 ms
    And bkk-u0 cuts its next answer
    And a look-up is sent through bkk
    Then the last answer is not from an upstream and may have run
    And what ran agrees with every answer

  Scenario: The refusal of a second dispatch says nothing of the first
    Covers the same case in the core alone: with real processes, steering
    chooses the order of the two attempts at random, and only one order leads to
    the failure.
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
    Guards against a request that runs shortly after its refusal under load:
    queues fill, deadlines pass in them, refused requests are forwarded, and a
    request is answered while a part of the system still holds it.
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
    Guards against keys that run twice and "not run" responses to requests that
    ran, in orders of events that no other scenario covers, drawn from a seed.
    Given a deployment for work that runs at most once, with 4 slots
    When keys are sent and repeated for 10 s under random faults of seed 1
    Then what ran agrees with every answer
