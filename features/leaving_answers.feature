Feature: Upstreams that say in their answers that they leave get nothing new

  # Guards against entries that know of leaving from registrations only.
  Scenario: Three of nine upstreams say that they leave, and are registered as ready
    Given 3 of 9 upstreams say that they leave
    When callers send to all entries meanwhile
    Then no entry sent them a request later than 2 s after it had passed on such an answer
    And at least 0.98 of the tries meanwhile were served
    And operators see at each entry that 3 upstreams leave, and what told so

  # Guards against a store that is away when upstreams leave.
  Scenario: The store does not answer while upstreams leave
    Given 3 of 9 upstreams say that they leave
    And the store does not answer meanwhile
    When callers send to all entries meanwhile
    Then no entry sent them a request later than 2 s after it had passed on such an answer
    And at least 0.98 of the tries meanwhile were served

  # Guards against an entry that learns nothing from answers through another one.
  Scenario: Entries without links send through others while upstreams leave
    Given 4 of 9 upstreams say that they leave
    And the entries of one zone reach no upstream meanwhile
    When callers send to all entries meanwhile
    Then no entry sent them a request later than 2 s after it had passed on such an answer
    And at least 0.97 of the tries meanwhile were served

  # Guards against requests that wait or are tried though no upstream is left.
  Scenario: All upstreams of a service leave
    Given 9 of 9 upstreams say that they leave
    When callers send to all entries meanwhile
    Then no entry sent them a request later than 2 s after it had passed on such an answer
    And from 1 s on each is refused at once, with a time to come back, and never ran
