Feature: Retries stay a small part of first tries
  Drives the core with the test's own clock.

  Scenario: Retries at twice the capacity
    # Guards against an overload that outlasts its cause, with more retries than
    # first attempts, because each refusal is answered with a retry while half
    # of the first attempts are refused, and retries too.
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

  Scenario: The first request after a start may be tried again
    # Guards against an approval that did not run and is refused while another
    # region is idle (about one run in ten): an entry's first request after its
    # start goes to an entry that has just died, which nobody knows yet, and the
    # retry budget starts empty and earns a token only after ten requests.
    Given a retry budget of 0.1
    When one first try comes and is refused
    Then it may be retried once, and not twice

  Scenario: Refused callers do not come back together
    Then times to come back from a base of 1000 ms spread over 1000 to 2000 ms
    And at twice the capacity they spread over 2000 to 4000 ms
