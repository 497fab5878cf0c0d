Feature: Requests wait in order for a slot while a service is overloaded

  # Guards against refusals and slots out of the order of priorities and returns.
  Scenario: Slots go by priority, then to callers that have returned, then by time
    Given a queue of waiting requests
      | name        | priority | returned | on time until | answered until |
      | low         | 2        | no       | 0.2           | 3.0            |
      | new         | 0        | no       | 0.1           | 3.0            |
      | returned    | 0        | yes      | 0.4           | 3.0            |
      | middle late | 1        | no       | -0.1          | 3.0            |
      | middle      | 1        | no       | 0.5           | 3.0            |
      | middle soon | 1        | no       | 0.3           | 3.0            |
    Then slots go to "returned, new, middle soon, middle, middle late, low"

  # Guards against a slot for a late request while another could be on time.
  Scenario: What can no longer be on time comes last of its priority
    Given a queue of waiting requests
      | name   | priority | returned | on time until | answered until |
      | first  | 1        | no       | 0.1           | 3.0            |
      | second | 1        | no       | 0.5           | 3.0            |
    When the clock of the queue moves on by 0.2 s
    Then slots go to "second, first"

  # Guards against a lowest priority that gets no slot at all.
  Scenario: The lowest priority is served a quarter as often as all
    Given a queue that gets 60 requests of priority 0 and 40 of priority 2 a second
    When it has a slot for 40 requests a second, for 20 s
    Then of priority 2 at least 0.2 times and at most 0.3 times as many are served as of all
    And of priority 0 more are served than of priority 2

  # Guards against callers that are held until their deadline without a result.
  Scenario: What can no longer be answered is refused at once
    Given a queue of waiting requests
      | name   | priority | returned | on time until | answered until |
      | ending | 1        | no       | 0.1           | 0.5            |
      | long   | 1        | no       | 0.2           | 3.0            |
    When the clock of the queue moves on by 0.51 s
    Then "ending" is refused as "out_of_time"
    And the next refusal is due in 2.49 s

  # Guards against a wait that cannot end in time because of those ahead.
  Scenario: What stands behind too many is refused before its time is over
    Given a queue that is offered 10 slots a second
    When 50 requests of priority 1 that can be answered for 2 s are added
    Then about 20 of them stay and the others are refused as "behind_others"

  # Guards against unbounded waits, and a full queue that refuses priority 0.
  Scenario: What waits is bounded, and the last in the order makes room
    Given a queue that is full with requests of priority 2
    Then a request of priority 2 finds no place
    And a request of priority 0 takes the place of the last one
    And bodies of more than 8388608 bytes find no place
    And a request of priority 0 with such a body ends no other wait

  # Guards against a placement of every waiting request for each freed slot.
  Scenario Outline: A freed slot costs few placements, however many wait
    Given <waiting> waiting requests, one of which runs at the upstream that gets free
    When a slot there gets free
    Then that one gets it after 1 placement
    And a slot that nobody gets costs at most 4 placements

    Examples:
      | waiting |
      | 10      |
      | 1000    |

  # Guards against polling by waiting requests.
  Scenario: A wait costs nothing until a slot is free, which is offered at once
    Given an entry at which 15 requests wait for one upstream
    When nothing happens for 0.3 s
    Then no placement is tried and no handle is called
    When a slot gets free
    Then a request has it within 5 ms
    And the other 14 wait

  # Guards against processor time for reports and changes while nothing waits.
  Scenario: Reports, responses and changes cost no handle while nothing waits
    Given an entry at which 0 requests wait for one upstream
    When 1000 reports, responses and changes of upstreams arrive
    Then no handle or timer is scheduled

  # Guards against places and slots that are kept for callers that have left.
  Scenario: Callers that leave give up their place at once
    Given an entry at which 15 requests wait for one upstream
    When 14 callers leave
    Then 1 request waits, and the records say so
    When a slot gets free and its caller leaves before the request is sent
    Then the slot is given back and no request waits

  # Guards against a slot that stays idle after a call was cancelled.
  Scenario: A call is cancelled in the turn in which a slot is offered
    Given an entry at which 3 requests wait for one upstream
    When a slot gets free in the turn in which the first call is cancelled
    Then the first ends, another has the slot and 1 wait

  # Guards against a call whose failed placement keeps slots from others.
  Scenario: An unknown error ends one call, and others get its slot
    Given an entry at which 3 requests wait for one upstream
    When the placement of the first one fails as a slot gets free
    Then the first ends, another has the slot and 1 wait

  # Guards against a call at a cut off entry that no event wakes.
  Scenario: An entry without reports sends once a stated load has faded
    Given an entry without reports, whose upstream was stated to hold 6 requests
    When a request waits there and nothing else happens
    Then it is sent within 1.5 s after 4 tries at most

  # Guards against a cut off entry that keeps the last total as full slots.
  Scenario Outline: An entry that gets no reports offers slots once these are old
    Given an entry whose zone's reporter told it that an upstream holds 9 requests
    When it has heard nothing for <age> s
    Then it <offers> to those that wait, and counts <held> requests of others

    Examples:
      | age  | offers         | held |
      | 1.0  | offers nothing | 9    |
      | 3.1  | offers slots   | 0    |
      | 10.0 | offers slots   | 0    |

  # Guards against sending by a state that has changed during the wait.
  Scenario Outline: What has changed during the wait is seen when a slot is free
    Given an entry at which 3 requests wait for one upstream
    When <change>
    Then the 3 requests end as "<end>" within 20 ms

    Examples:
      | change                                       | end           |
      | its only upstream leaves                     | not_placeable |
      | its zone is evacuated                        | not_placeable |
      | its only upstream asks for a rest            | not_placeable |
      | a newer configuration has another route      | failed        |
      | its links are cut                            | not_placeable |
      | the entry stops before a slot can be free    | out_of_time   |
      | the entry stops right after it checked times | out_of_time   |

  # Guards against the highest priority behind a burst of the lowest.
  Scenario: Real requests of the highest priority pass those of the lowest
    Given a gateway with ordered waits and 1 upstream that works 0.3 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 12 requests to "/last/x" are followed by 3 to "/first/x"
    Then the 3 are answered before the 3 last answers to the 12
    And each answered request ran once, and no refused one ran

  # Guards against requests that hang or run twice after their upstream ends.
  Scenario: The upstream ends while requests wait for it
    Given a gateway with ordered waits and 1 upstream that works 0.6 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 12 requests go to "/last/x" and the upstream is killed
    Then each caller has an answer before its deadline

  # Guards against a stop that cuts off requests that wait.
  Scenario: A stopping entry serves or refuses what waits
    Given a gateway with ordered waits and 1 upstream that works 0.6 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 12 requests go to "/last/x" and the gateway gets SIGTERM
    Then each caller has an answer before its deadline
    And the gateway ends with status 0

  # Guards against requests that run although their callers were cut off.
  Scenario: An entry is killed while requests wait
    Given a gateway with ordered waits and 1 upstream that works 0.6 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 12 requests go to "/last/x" and the gateway is killed
    Then each caller sees its connection close
    And at most 3 of the requests have run

  # Guards against entries that all use the same free slot of a report.
  Scenario: Entries divide the free slots that a report shows
    Given 20 entries that learn of 5 free slots at an upstream of 9
    Then 2 to 9 of them may send a request there, other ones after the next report
    And an entry whose own request has ended there replaces it
    And none may send while the upstream holds 20 requests too many

  # Guards against operators who cannot tell why a request got no slot.
  Scenario: "why" names how a wait ended
    Given a gateway with ordered waits and 1 upstream that works 0.6 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 40 requests go to "/last/x" side by side
    Then "why" tells of a refused one "its wait ended, as"

  # Guards against a setting that does not switch the part off.
  Scenario: Nothing waits in order where the part is switched off
    Given a gateway with "ALMONDSTAIR_OVERLOAD" set to "waiting=off"
    And routes "/first/" of priority 0 and "/last/" of priority 2
    When 40 requests go to "/last/x" side by side
    Then no request has waited in order

  # Guards against waits that depend on the store.
  Scenario: Requests wait in order while the store is away
    Given a gateway with ordered waits and 1 upstream that works 0.3 s
    And routes "/first/" of priority 0 and "/last/" of priority 2
    And the store is killed
    When 12 requests to "/last/x" are followed by 3 to "/first/x"
    Then the 3 are answered before the 3 last answers to the 12
    And each answered request ran once, and no refused one ran

  # Guards against a new behaviour of deployments that do not call for it.
  Scenario: Without a route of priority 0 nothing waits in order
    Given a gateway with ordered waits and 1 upstream that works 0.1 s
    When 8 requests to "/safe/x" are sent side by side
    Then no request has waited in order

  # Guards against wrong order and idle slots with old loads of other entries.
  Scenario: At twice the slots, higher priorities are served first
    When "priorities-at-2" is replayed with seeds 1 to 1
    Then no priority is served less often than a lower one
    And 0.85 of the requests of priority 0 are in aim
    And the lowest priority is served a quarter as often as all
    And fewer than 1 in 100 requests fail

  # Guards against slots that stay idle since a service's only priority is low.
  Scenario Outline: Only higher priorities that ask for a service shorten queues
    When requests of the priorities <asked> ask for a service, ten of each
    Then a request of priority <priority> joins queues of <runs> mean runs

    Examples:
      | asked   | priority | runs |
      | 2       | 2        | 1.5  |
      | 1, 2    | 2        | 0.25 |
      | 0, 1, 2 | 2        | 0    |
      | 0, 1, 2 | 0        | 1.5  |
      | 1, 2    | 1        | 1.5  |

  # Guards against entries that swing together by old reports.
  Scenario: Old reports of many entries do not make the part worse than none
    When "priorities-at-2" is replayed with 61 entries and reports 0.5 s old, with and without the part
    Then the credit is at least 0.1 higher with the part
    And 0.5 of the requests of priority 0 are in aim
    And fewer than 0.1 of the runs are without their object
    And no priority is served less often than a lower one

  # Guards against new callers that are taken for returned ones, or the reverse.
  Scenario Outline: Only callers that have certainly waited count as returned
    Given first attempts of a route that state <first> s
    When a caller states <stated> s
    Then it has certainly waited <age> s

    Examples:
      | first                   | stated | age  |
      | 6.8 to 8, evenly spread | 8      | 0    |
      | 6.8 to 8, evenly spread | 6.9    | 0    |
      | 6.8 to 8, evenly spread | 5.8    | 0.97 |
      | 8, and two of 30        | 6.9    | 0    |
      | 8, and two of 30        | 5.8    | 1.0  |
      | 7.2, only two of them   | 1      | 0    |

  # Guards against callers of a changed route that all seem to have waited.
  Scenario: A change of a route's times forgets its deadlines
    Given first attempts of a route that state 8, and two of 30 s
    When the route's timeout changes, and a caller states 4 s
    Then it has certainly waited 0 s
