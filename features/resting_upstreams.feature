Feature: Upstreams that ask an entry for rest get it

  # Guards against entries that send on to upstreams that asked them for rest.
  Scenario: Three of nine upstreams turn requests away and ask for rest
    Given 3 of 9 upstreams answer 503 and ask for 3 s of rest
    When callers send to all entries meanwhile
    Then no upstream got more than two requests from an entry in a rest that it asked for
    And at least 0.98 of the tries meanwhile were served
