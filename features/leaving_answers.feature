Feature: Upstreams that say in their answers that they leave get nothing new

  # Guards against entries that know of leaving from registrations only.
  Scenario: Three of nine upstreams say that they leave, and are registered as ready
    Given 3 of 9 upstreams say that they leave
    When callers send to all entries meanwhile
    Then no entry sent them a request later than 2 s after it had passed on such an answer
    And at least 0.98 of the tries meanwhile were served
