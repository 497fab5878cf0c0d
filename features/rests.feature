Feature: A rest that an upstream asks for is kept, and ends by steps

  # Guards against rests that end early, or come back from a lapsed registration.
  Scenario Outline: A rest lasts as long as the upstream asked for
    Given an upstream that asks an entry for 3 s of rest
    When <happens>
    Then it gets no request of this entry before <end> s

    Examples:
      | happens                                              | end |
      | nothing else happens                                 | 3   |
      | 1 s later it asks for 1 s                            | 3   |
      | 1 s later it asks for 4 s                            | 5   |
      | 1 s later it answers a request that was on its way   | 3   |
      | 1 s later its registration lapses and returns        | 3   |

  # Guards against an upstream that is lost for a day by a wrong value.
  Scenario: A huge rest is cut to the longest that the settings allow
    Given an upstream that asks an entry for 999999999 s of rest
    Then it may get a request again within 61.1 s

  # Guards against a rest that passes to whatever starts in the upstream's place.
  Scenario: A new start of a resting upstream gets requests at once
    Given an upstream that asks an entry for 3 s of rest
    When it starts again under its id
    Then it may get a request again within 0 s

  # Guards against health checks of links that reach upstreams at rest.
  Scenario: Links are not checked at upstreams that leave or rest
    Given an entry without links, whose 3 upstreams are one that leaves, one that rests and one more
    When it looks for upstreams to check its links at
    Then it finds the third only

  # Guards against an overloaded upstream that is also taken for a failing one.
  Scenario: A rest is no failure
    Given an upstream that asks an entry for 3 s of rest in answer to a request
    Then the request was refused, and may be sent elsewhere
    And the upstream counts no failure, and nothing is reported of it

  # Guards against a request that is sent although its upstream just asked for rest.
  Scenario: A request waits for a connection when its upstream asks for rest
    Given a request that was placed on an upstream, and waits for a connection
    When the upstream asks meanwhile for 3 s of rest
    Then the request is not sent, and may be placed again

  # Guards against all requests at once into an upstream that has just recovered.
  Scenario: Requests return by steps
    Given an upstream of 8 slots that asks an entry for 3 s of rest
    When the rest is over, and the entry always has requests for it
    Then it gets 1 request, then 2 after its answer, then 4, then as many as there are

  Scenario: An upstream that refuses again is tried again slowly
    Given an upstream of 8 slots that asks an entry for 3 s of rest
    When the rest is over, and it refuses all requests without asking for rest
    Then it gets 5 requests in the next second at most

  # Guards against a fleet whose entries return at the same moment.
  Scenario Outline: Entries return one after another
    Given <entries> entries that an upstream of 8 slots asks for 3 s of rest at once
    Then they return between 3 s and <last> s, no more than <most> of them in any 0.1 s

    Examples:
      | entries | last | most |
      | 6       | 3.1  | 6    |
      | 195     | 4.0  | 35   |

  # Guards against requests that wait or are tried though all upstreams rest.
  Scenario: All upstreams rest
    Given 3 upstreams of which each asks an entry for rest, for 3, 2 and 4 s
    When 20 requests arrive
    Then none is sent or waits
    And their callers are asked to return from 2 s on, one after another

  # Guards against callers that all return in one moment when many are refused.
  Scenario: Many callers return over time
    Given 3 upstreams of which each asks an entry for rest, for 3, 2 and 4 s
    When 300 requests arrive
    Then their callers are asked to return between 2 s and 4.3 s, no more than 30 of them in any 0.1 s

  # Guards against callers that return too late because one upstream cannot be reached.
  Scenario: The others rest while one cannot be reached
    Given 3 upstreams of which each asks an entry for rest, for 3, 2 and 4 s
    When the one that rests shortest cannot be reached, and a request arrives
    Then its caller is asked to return after 2 s at the earliest, and 2.2 s at most

  # Guards against callers that wait for a rest while a limit has room sooner.
  Scenario Outline: Two upstreams rest, and the third is at its limit
    Given 3 upstreams of which each asks an entry for rest, for 3, 2 and 4 s
    When the one that rests shortest does not rest, but its limit refuses a request for <limit> s
    Then its caller is asked to return after <first> s at the earliest, and <last> s at most

    Examples:
      | limit | first | last |
      | 0.7   | 0.7   | 0.8  |
      | 9     | 3     | 3.1  |

  # Guards against requests whose few attempts all meet upstreams that rest again.
  Scenario: A second try goes to an upstream that has not just rested
    Given 3 upstreams of which two asked an entry for rest that is over
    When 20 requests for different objects arrive, refused at one of the two before
    Then they all go to the third
    And so do uploads that no upstream has refused yet
    And if it cannot be reached, they go to the other one of the two

  # Guards against a resting upstream that is reached through another entry.
  Scenario: An entry that relays a request names the upstreams that rest
    Given a relayed request whose first entry was asked for rest by one of 3 upstreams
    When the request is placed 20 times
    Then it never goes to that upstream
