Feature: Upstreams that ask an entry for rest get it

  # Guards against entries that send on to upstreams that asked them for rest.
  Scenario: Three of nine upstreams turn requests away and ask for rest
    Given 3 of 9 upstreams answer 503 and ask for 3 s of rest
    When callers send to all entries meanwhile
    Then no upstream got more than two requests from an entry in a rest that it asked for
    And from 1 s on at least 0.99 of the tries were served
    And the others met only upstreams that had not asked their entry for rest before
    And no upstream counts as failing, cold or unreachable at an entry

  # Guards against entries that pass a rest by sending through another entry.
  Scenario: Entries without links send through others while upstreams rest
    Given 3 of 9 upstreams answer 503 and ask for 3 s of rest
    And the entries of one zone reach no upstream meanwhile
    When callers send to all entries meanwhile
    Then no upstream got more than two requests from an entry in a rest that it asked for
    And at least 0.97 of the tries meanwhile were served

  # Guards against requests that wait or are tried while all upstreams rest.
  Scenario Outline: All upstreams of a service ask for rest
    Given 9 of 9 upstreams answer 503 and ask for <rest> s of rest
    When callers send to all entries meanwhile
    Then no upstream got more than two requests from an entry in a rest that it asked for
    And from 1 s on each is refused at once, with a time to come back, and never ran
    And "why" says of one of them that its upstreams wanted rest
    And <after> s after the end at least 0.98 of the tries are served

    Examples:
      | rest | after |
      | 2    | 2.4   |
      | 1    | 1.4   |

  # Guards against the others being overrun when a third of the upstreams rests.
  Scenario: A third of busy upstreams that refuse long queues asks for rest
    Given 9 busy upstreams ask for 1 s of rest when 2 requests wait
    And 3 of them answer 503 and ask for 3 s of rest
    When callers send to all entries meanwhile
    Then no upstream got more than two requests from an entry in a rest that it asked for
    And at least 0.95 of the tries meanwhile were served
    And none of the others asked for rest more often than once by entry
