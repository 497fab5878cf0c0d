Feature: Retries stay a small part of first tries
  The pure core is driven with a clock of the test's own.

  Scenario: Retries at twice the capacity
    # Symptom: overload outlasts its cause; retries outnumber first tries.
    # Events: half of the first tries are refused, and so are retries.
    # Cause: each refusal was answered with a retry.
    Given a retry budget of 0.1
    When for 60 s 200 first tries a second come and each refused one is retried
    Then retries are at most 0.1 of first tries
    And retries are at least 0.09 of first tries

  Scenario: Calm saves up no storm
    Given a retry budget of 0.1
    When for 120 s 200 first tries a second come and none is refused
    And for 10 s 200 first tries a second come and each refused one is retried
    Then retries of the last 10 s are at most 0.11 of its first tries

  Scenario: A service with little load may still retry
    Given a retry budget of 0.1
    When for 60 s 1 first tries a second come and each refused one is retried
    Then retries are at least 0.4 of first tries

  Scenario: Refused callers do not come back together
    Then times to come back from a base of 1000 ms spread over 1000 to 2000 ms
    And at twice the capacity they spread over 2000 to 4000 ms
