Feature: What upstreams say of themselves is read once, and counts for good

  # Guards against a header that is forgotten for one kind of response.
  Scenario Outline: A response's head says what its upstream says
    When a response <status> has the headers <headers>
    Then it says "<says>"

    Examples:
      | status | headers                                   | says            |
      | 200    | Server-Leaving: 1                         | leaving         |
      | 404    | server-leaving: 1                         | leaving         |
      | 503    | Server-Leaving: 1, Retry-After: 0.5       | leaving, rest 0.5 |
      | 200    | Server-Leaving: 0                         | nothing         |
      | 503    | Retry-After: 3                            | rest 3          |
      | 503    | Retry-After: 0                            | nothing         |
      | 200    | Retry-After: 3                            | nothing         |
      | 429    | Retry-After: 3                            | nothing         |
      | 200    | X-Almondstair-Server-Load: 1;2;3          | load 1 2 3      |
      | 200    | X-Almondstair-Server-Load: 1;2;3;140      | load 1 2 3      |
      | 200    | X-Almondstair-Server-Load: 1; 2; 3; 140;7 | load 1 2 3      |
      | 200    | X-Almondstair-Server-Load: 1;2;3;slow     | load 1 2 3, unreadable |
      | 200    | X-Almondstair-Cold-Ms: 1500               | cold 1.5        |
      | 200    | Server-Limit: 2.7                         | limit 2.7       |

  # Guards against a value without meaning that stops an upstream or an entry.
  Scenario Outline: A value without meaning says nothing, and is counted
    When a response 503 has the headers <headers>
    Then it says "unreadable"

    Examples:
      | headers                              |
      | Server-Leaving: yes                  |
      | Server-Leaving: 1, Server-Leaving: 1 |
      | Retry-After: -1                      |
      | Retry-After: nan                     |
      | Retry-After: inf                     |
      | Retry-After: 1e3                     |
      | Retry-After: tomorrow                |
      | Retry-After: 9999999999              |
      | Retry-After: 1, Retry-After: 2       |
      | Server-Limit: -1                     |
      | X-Almondstair-Server-Load: 1;2       |
      | X-Almondstair-Server-Load: 1;two;3;100 |
      | X-Almondstair-Server-Load: 1;2;;100  |
      | X-Almondstair-Server-Load: 9999999999;2;3 |

  # Guards against heads that count only when the whole response has arrived.
  Scenario Outline: A head counts as soon as it is read
    Given a request on a connection to an upstream
    When it is answered with <response>
    Then <count> head was applied

    Examples:
      | response                                   | count |
      | a whole response                           | 1     |
      | a body that breaks off                     | 1     |
      | a head, and nothing more                   | 1     |
      | half a head                                | 0     |
      | a late response to an earlier request      | 0     |

  # Guards against an upstream that gets requests again after it said it leaves.
  Scenario Outline: Nothing ends what an upstream said of leaving
    Given an entry that follows the store, with upstream "i-1" born at 1000
    When a response of "i-1" says that it leaves
    And <happens>
    Then "i-1" is draining

    Examples:
      | happens                                                       |
      | a registration of "i-1" born at 1000 comes                    |
      | a listing has "i-1" born at 1000                              |
      | "i-1" is removed, and its registration born at 1000 comes     |
      | "i-1" takes a new connection after it could not be reached     |

  # Guards against a new upstream that inherits that another one left.
  Scenario: A new start gets requests at once
    Given an entry that follows the store, with upstream "i-1" born at 1000
    When a response of "i-1" says that it leaves
    And a registration of "i-1" born at 2000 comes
    Then "i-1" is born at 2000

  # Guards against the word of an upstream that answers for another one.
  Scenario Outline: Only the upstream that is meant speaks for itself
    Given an entry that follows the store, with upstream "i-1" born at 1000
    When <response> says that it leaves
    Then "i-1" is <state>

    Examples:
      | response                                | state         |
      | a response 421 to a request for "i-1"   | born at 1000  |
      | a health check answered by "i-2"        | born at 1000  |
      | a health check answered by nobody       | born at 1000  |
      | a health check answered by "i-1"        | draining      |

  # Guards against an upstream of which another entry knows before it registers.
  Scenario: What another entry heard counts before the registration is read
    Given an entry that follows the store, with upstream "i-1" born at 1000
    When another entry tells that "i-2" born at 1500 said that it leaves
    And a registration of "i-2" born at 1500 comes
    Then "i-1" gets new requests, and "i-2" does not

  # Guards against entries that change their view with each registration.
  Scenario: Registrations that repeat it change nothing
    Given an entry that follows the store, with upstream "i-1" born at 1000
    When a response of "i-1" says that it leaves
    And "i-1" says five times that it is draining
    Then the eligible upstreams have changed once since

  # Guards against entries that send on until each has its own response.
  Scenario Outline: One response is enough for all entries
    Given <entries> entries in <zones> zones that hear each other
    When an upstream says to one entry that it leaves
    Then within <limit> s all entries know it
    And an entry that starts 60 s later knows it within <limit> s

    Examples:
      | entries | zones | limit |
      | 9       | 6     | 1.5   |
      | 195     | 9     | 1.5   |

  # Guards against a request that is sent although its upstream just said so.
  Scenario: A request waits for a connection when its upstream says that it leaves
    Given a request that was placed on an upstream, and waits for a connection
    When the upstream says meanwhile that it leaves
    Then the request is not sent, and may be placed again
    And the connection is closed

  # Guards against crash reports and failures of an upstream that ended as it said.
  Scenario: A leaving upstream's lost response is no crash
    Given a request that runs at an upstream that said that it leaves
    When its connection ends without a response
    Then nothing is reported of the upstream, and it counts no failure
