Feature: Overload does not feed on itself
  Real processes; the load is open, so it comes whatever the answers are.

  Background:
    Given three entries and two upstreams with 60 look-ups/s of capacity

  # Symptom: a system at twice its load answers less than at its load. Events:
  # requests are refused or fail, each is sent again by the entries, and the
  # upstreams are busy with repeats. Cause: retries without a bound.
  Scenario: Twice the load that all slots can serve
    When 120 requests/s come for 5 s, a third of them batch
    Then the upstreams saw at most 1.1 times the requests that came
    # Of 1.1 tries a request some two thirds go to another of three entries.
    And the entries forwarded at most 0.95 times the requests that came
    And the answers are at least 0.75 of capacity
    And batch work was refused more than look-ups
    And each refusal has a time to come back and was sent within 1000 ms
    And 99 of 100 admitted look-ups took at most 600 ms
