Feature: Refused callers are told when to return, and are recognised then

  # Guards against all entries sending callers to the same free slots at once.
  Scenario Outline: All entries together assign no more turns than slots get free
    Given <entries> entries that see 40 upstreams of 9 slots with 14 requests each, answered in 0.8 s
    When each entry refuses <callers> callers of 8 s in 0.2 s
    Then in no 0.5 s more turns are assigned than 700 a second
    And no turn is assigned before the queues have ended

    Examples:
      | entries | callers |
      | 61      | 2       |
      | 61      | 20      |
      | 103     | 10      |

  # Guards against turns in slots that new callers take.
  Scenario: Beside new callers that use all slots, turns take a tenth of them
    Given 61 entries that see 40 upstreams of 9 slots with 14 requests each, answered in 0.8 s
    And each entry gets 15 new callers a second
    When each entry refuses 20 callers of 8 s in 0.2 s
    Then in no 1 s more turns are assigned than 80 a second

  # Guards against callers that are overtaken by ones refused after them.
  Scenario: Turns are assigned in the order in which callers are refused
    Given 61 entries that see 40 upstreams of 9 slots with 14 requests each, answered in 0.8 s
    When each entry refuses 6 callers of 8 s in 0.2 s
    Then the turns of each entry come one after another

  # Guards against urgent callers that wait for the turns of others.
  Scenario: A turn of a higher priority postpones those of lower ones
    Given an entry among 61 that has told 4 callers of priority 2 when to return
    When it refuses a caller of priority 0
    Then that one returns before the second of them
    And the next one of priority 2 returns last

  # Guards against callers without a time though a return leaves time to run.
  Scenario Outline: Every caller whose return leaves time to run is told a time
    Given an entry with 4 upstreams of 9 slots with <load> requests each, answered in <took> s
    When it refuses a caller that has <left> s left
    Then it is told <told>

    Examples:
      | load | took | left | told                                |
      | 9    | 0.4  | 8    | to return in 0.01 to 0.1 s, a turn  |
      | 27   | 0.4  | 8    | to return in 0.2 to 0.5 s, a turn   |
      | 27   | 1.2  | 1.8  | to return in 0.6 to 0.6 s, latest   |
      | 9    | 0.4  | 0.15 | no time                             |
      | 27   | 0.4  | 0.5  | to return in 0.08 to 0.12 s, latest |
      | 9    | 0.4  | 0.4  | no time                             |
      | 0    | 0.4  | 8    | to return in 0.01 to 0.1 s, a turn  |

  # Guards against callers beyond the turns that get no time, or use turns up.
  Scenario: Without a free turn, callers are told a third of their time
    Given an entry with 4 upstreams of 9 slots with 27 requests each, answered in 1.2 s
    When it refuses 400 callers that have 3 s left
    Then the last 50 of them are told a third of 3 s
    And a caller that has 30 s left gets the turn after the last one assigned

  # Guards against turns used up by callers that do not come again.
  Scenario: A caller that is refused at its return uses up no turn
    Given an entry with 4 upstreams of 9 slots with 27 requests each, answered in 1.2 s
    When it refuses 20 returned callers that have 5 s left
    Then each of them is told a third of 5 s
    And the next new caller gets the first turn

  # Guards against an entry that gives no time for lack of upstreams, loads or reports.
  Scenario Outline: An entry that knows little tells a short time
    Given an entry <state>
    When it refuses a caller that has 8 s left
    Then it is told a time of 0.01 to 0.9 s

    Examples:
      | state                                  |
      | without any response or report         |
      | that is cut off from the other entries |
      | that is not registered                 |
      | whose upstreams all rest               |
      | whose clock is at 100000000 s          |

  # Guards against turns by the slots of upstreams that have gone.
  Scenario: Fewer upstreams give fewer turns
    Given 61 entries that see 40 upstreams of 9 slots with 14 requests each, answered in 0.8 s
    When three quarters of the upstreams leave
    And each entry refuses 20 callers of 8 s in 0.2 s
    Then in no 0.5 s more turns are assigned than 175 a second

  # Guards against a log line for each caller without a turn, and no line at the end.
  Scenario: Turns that run out are reported once, and their return once
    Given an entry with 4 upstreams of 9 slots with 27 requests each, answered in 1.2 s
    When it refuses 400 callers that have 3 s left
    Then the end of its turns is reported once
    And after 11 s without such a refusal turns are reported as available once

  # Guards against returned callers that are refused while new ones are served.
  Scenario Outline: Only a recognised caller of a crowded service joins a long queue
    Given 2 upstreams of 4 slots with <load> requests each, and a target of 0.5 s
    When a caller that states <stated> s is placed, of a route with 2.55 to 3 s
    Then it <outcome>

    Examples:
      | load | stated | outcome    |
      | 3    | 2.9    | is sent    |
      | 9    | 2.9    | is refused |
      | 9    | 2.56   | is refused |
      | 9    | 2.4    | is sent    |
      | 9    | 0.6    | is refused |
      | 17   | 2.4    | is refused |

  # Guards against returned callers that break the order of requests that wait here.
  Scenario: Where requests wait in order, a returned caller joins no longer queue
    Given 2 upstreams of 4 slots with 9 requests each, and a target of 0.5 s
    When a caller that states 2.4 s and may queue for 0.5 mean runs is placed, of a route with 2.55 to 3 s
    Then it is refused

  # Guards against a Retry-After that the error table adds.
  Scenario: A refusal without a return time has no Retry-After, also when relayed
    Given a refusal for lack of a slot without a return time
    Then neither the entry nor one that relays it states Retry-After
    And a refusal that states 0.42 s keeps it when it is relayed

  # Guards against the delay of the error table in place of a decided one.
  Scenario Outline: A request that waited until the route's timeout is told a time
    Given an entry with the part <mode> whose return times are <decided> ms
    When a request waits there until the timeout of its route
    Then its refusal states <told> ms, "<basis>"

    Examples:
      | mode | decided | told | basis  |
      | on   | 420     | 420  | latest |
      | on   | no      | no   | none   |
      | off  | 420     | 1000 |        |

  # Guards against callers that get worse service than without the part by more than known.
  Scenario Outline: Callers that return when told are served more often with the part
    When "<pattern>" is replayed with seeds 1 to 2, with the part on and off
    Then of the callers that return when told <share> are served, and <times> times as many as with it off
    And at least as many callers are served as with it off
    And no priority is served less often than a lower one with the part on
    And under 0.01 of the requests of each kind end after their time

    Examples:
      | pattern        | share | times |
      | returns-at-1-5 | 0.55  | 1.8   |
      | returns-at-2   | 0.4   | 1.8   |

  # Guards against callers that ignore Retry-After and are served before the others.
  Scenario: Callers that return after 0.1 s are served no more than others
    When "returns-beside-hasty" is replayed with seeds 1 to 2, with the part on and off
    Then "hasty" is served no more often than "usual"
    And "hasty" earns no more credit than with the part off

  # Guards against a part that changes decisions where it is off.
  Scenario: With the part off, decisions are the same to the digit
    When "short-and-long-at-1-5" is replayed with seed 1 and the part off
    Then its kinds end as
      | kind    | total | in aim | late | refused | failed |
      | history | 2004  | 1151   | 477  | 376     | 0      |
      | scan    | 1143  | 658    | 234  | 251     | 0      |
    And it has 2528 runs, 59 of them new

  # Guards against callers of a killed entry that others take for new ones.
  Scenario: Callers that a killed entry refused are recognised at another one
    Given 2 gateways with return times, 1 upstream of 3 slots that works 0.25 s, and a route of priority 0
    When 24 requests are sent to each at once, and the first gateway is killed
    Then those refused state times within a third of 3 s
    When the callers that the killed gateway refused return at the other one
    Then it counts those as returned that have certainly waited
    And as many requests have run as were answered
    And operators see the return times, and "why" tells what one rests on

  # Guards against return times that need the store.
  Scenario: Return times are told while the store is away
    Given 1 gateway with return times, 1 upstream of 1 slot that works 0.25 s, and a route of priority 0
    And the store is killed
    When 24 requests are sent to it at once
    Then those refused state times within a third of 3 s

  # Guards against a part that is on by default, or goes on when switched off.
  Scenario Outline: With the part off, callers are told the constant time
    Given a gateway with "<modes>", 1 upstream of 1 slot and a route of priority 0
    When 24 requests are sent to it at once
    Then those refused are told to return after 0.15 s
    And no return time is counted

    Examples:
      | modes       |
      | speed=off   |
      | returns=off |
