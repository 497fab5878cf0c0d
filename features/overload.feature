Feature: Overload does not feed on itself
  Runs real processes with an open load, which does not depend on the responses.

  Background:
    Given three entries and two upstreams with 60 look-ups/s of capacity

  # Guards against a system that answers fewer requests at twice its capacity
  # than at its capacity, because entries retry refused and failed requests
  # without a limit and keep the upstreams busy with retries.
  Scenario: Twice the load that all slots can serve
    When 120 requests/s come for 5 s, a third of them batch
    Then the upstreams saw at most 1.1 times the requests that came
    # Of 1.1 attempts per request, about two thirds go to another of three
    # entries.
    And the entries forwarded at most 0.95 times the requests that came
    And the answers are at least 0.75 of capacity
    And batch work was refused more than look-ups
    And each refusal has a time to come back and was sent within 1000 ms
    And 99 of 100 admitted look-ups took at most 600 ms
