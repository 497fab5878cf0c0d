Feature: Organisations have fair shares of a service that is short of slots

  # Guards against a division that gives some organisations what others need.
  Scenario Outline: Capacity is divided by max-min fairness
    Given a service that completes <capacity> requests a second
    When organisations ask for "<demands>"
    Then the admitted rates are "<admitted>"

    Examples:
      | capacity | demands                     | admitted               |
      | 100      | a=20, b=30, c=40            | a=20, b=30, c=40       |
      | 100      | a=20, b=30, c=400           | a=20, b=30, c=50       |
      | 100      | a=10, b=200, c=600          | a=10, b=45, c=45       |
      | 90       | a=60, b=60, c=60            | a=30, b=30, c=30       |
      | 0        | a=60, b=60                  | a=0, b=0               |
      | 100      | a=20, c=400, others=30      | a=20, c=50, others=30  |
      | 100      | a=600, b=60, others=400     | a=25, b=25, others=50  |

  # Guards against slots that nobody else wants and that stay unused.
  Scenario: An organisation that is alone may use all slots
    Given a service that completes 100 requests a second
    When organisations ask for "a=500"
    Then the admitted rates are "a=500"

  # Guards against low priorities before higher ones, and their starvation.
  Scenario Outline: Higher priorities are served first, the others not never
    Given a service that completes 100 requests a second
    When organisations ask by priority for "<demands>"
    Then the served parts by priority are "<parts>"

    Examples:
      | demands                | parts                 |
      | 0:a=60, 1:b=60         | 0=1.0, 1=0.667        |
      | 0:a=160, 1:b=40        | 0=0.594, 1=0.125      |
      | 0:a=100, 1:b=50, 2:c=50 | 0=0.875, 1=0.125, 2=0.125 |
      | 1:b=50, 2:c=150        | 1=1.0, 2=0.333        |

  # Guards against retries that raise the share of an organisation, or come on top of it.
  Scenario: Retries that are recognised count once
    Given a service that completes 100 requests a second
    When "a" asks for 100 and 300 retries, and "b" for 40
    Then "a" is admitted for 60 of its 400, and "b" for 40

  # Guards against shares without a shortage, and against shares that flap.
  Scenario Outline: A service is scarce while it is full and refuses requests
    Given the utilisation of a service is <steps>
    Then it is scarce <scarce>

    Examples:
      | steps                                          | scarce            |
      | 1.0 for 5 s                                    | never             |
      | 1.0 for 5 s with refusals                      | from 0 to 5 s     |
      | 0.94 for 5 s with refusals                     | never             |
      | 1.0 for 2 s with refusals, then 0.85 for 9 s   | from 0 to 11 s    |
      | 1.0 for 2 s with refusals, then 0.7 for 9 s    | from 0 to 4 s     |
      | 1.0 for 2 s with refusals, then 0.7 for 1 s, then 0.9 for 1 s, then 0.7 for 1 s | from 0 to 5 s |

  # Guards against one organisation that takes the slots of all others.
  Scenario Outline: A flood of one organisation leaves the others their shares
    Given <entries> entries with <upstreams> upstreams, and messages <late> s late
    When callers send <load> times what all slots run, and one organisation sends <times> times its usual load
    Then each organisation below an equal share is served in 95 of 100
    And 90 of 100 slots are used
    And shares were in force at all entries, once

    Examples:
      | entries | upstreams | late | load | times |
      | 61      | 27        | 0    | 1.5  | 7     |
      | 61      | 27        | 0.1  | 2    | 5     |
      | 61      | 27        | 0.2  | 3    | 4     |
      | 103     | 40        | 0    | 3    | 7     |
      | 103     | 40        | 0.2  | 1.5  | 4     |

  # Guards against a part that is switched on and cannot be shown to help.
  Scenario: Without the part the flood takes the slots
    Given 61 entries with 27 upstreams, without the part
    When callers send 3 times what all slots run, and one organisation sends 4 times its usual load
    Then the organisations below an equal share are served in less than 50 of 100

  # Guards against a part that changes decisions where it is off or not needed.
  Scenario Outline: Decisions are the same to the digit
    Given 61 entries with 27 upstreams, <first>
    When callers send <load> times what all slots run for 6 s, here and <second>
    Then every request ended alike, at the same time

    Examples:
      | first            | load | second                |
      | without the part | 2    | with all admitted     |
      | with the part    | 0.7  | without the part      |

  # Guards against shares that depend on single entries.
  Scenario Outline: Failures of entries during a flood
    Given 61 entries with 27 upstreams, and messages 0 s late
    When callers send 2 times what all slots run, and one organisation sends 5 times its usual load, and <failure>
    Then the organisations below an equal share are served in 95 of 100
    And 90 of 100 slots are used

    Examples:
      | failure                                |
      | the reporters of two zones are killed  |
      | the reporter of each zone is killed    |
      | the reporter of each zone is restarted |
      | 20 entries are restarted               |
      | the store is away                      |

  # Guards against an entry that acts on the view of a fleet that it no longer hears.
  Scenario: Entries that are cut off admit all requests and log it
    Given 61 entries with 27 upstreams, and messages 0 s late
    When callers send 2 times what all slots run, and one organisation sends 5 times its usual load, and 3 entries are cut off
    Then the entries that are cut off admit all requests from 1.6 s on
    And each of them logged an end for the reason "no_totals"
    And the other entries go on with shares

  # Guards against shares that follow from a demand that has long changed.
  Scenario: Totals that are too old are not used
    Given 61 entries with 27 upstreams, and messages 0 s late
    When callers send 2 times what all slots run, and one organisation sends 5 times its usual load, and totals no longer arrive
    Then all entries admit all requests from 1.6 s on

  # Guards against new entries that are refused slots which older ones take.
  Scenario: Entries of an older version among the others
    Given 61 entries with 27 upstreams, of which 12 have no such part
    When callers send 2 times what all slots run, and one organisation sends 5 times its usual load
    Then the organisations below an equal share are served in 85 of 100
    And entries with the part admit them in 95 of 100
    And 90 of 100 slots are used

  # Guards against messages of another version that cannot be read.
  Scenario: Messages without demands, and with further fields, are read
    When load reports of an older and of a newer version arrive
    Then they are read, the older ones without demands

  # Guards against reports that depend on the clocks of two processes.
  Scenario: Clocks of entries do not matter
    Given two entries whose clocks differ by 100000 s
    When both hear the same totals, and the same requests arrive
    Then they decide alike

  # Guards against control traffic that grows with organisations.
  Scenario: Reports of 770 entries and 73 organisations are small
    When an entry of 770 reports 73 organisations above their shares for 20 s
    Then its demands, and those of the totals that it gets, take at most 1000 bytes a second each

  # Guards against requests without an organisation that count as many.
  Scenario: Requests without an organisation are those of one
    Given 61 entries with 27 upstreams, and messages 0 s late
    When callers without an organisation send 2 times what all slots run, and 10 organisations little
    Then these organisations are served in 95 of 100

  # Guards against a lower priority before a higher one, and its starvation.
  Scenario: Priorities of organisations during an overload
    Given 61 entries with 27 upstreams, and messages 0 s late
    When organisations of the priorities 0, 1 and 2 send 2.4 times what all slots run
    Then the higher of two priorities is served at least as often
    And the lowest is served at least a quarter as often as all

  # Guards against shares that last after the overload, or end within it.
  Scenario: Shares end after the overload
    Given 61 entries with 27 upstreams, and messages 0 s late
    When callers send 2 times what all slots run for 6 s, and then half of it
    Then shares were in force at all entries, and ended once for the reason "ample"

  # Guards against shares without an end event, or an old shortage that is reported again.
  Scenario Outline: Shares end with the part, or with the service
    Given an entry with shares in force
    When <change>
    Then the end is logged with the reason "inactive", and operators see no shares
    And the service is not scarce when the change is undone

    Examples:
      | change                         |
      | the part becomes inactive      |
      | the service is not configured  |

  # Guards against a capacity that counts refusals of relayed requests twice.
  Scenario: The refusal of a relayed request counts where its caller reached
    When a request finds no slot at an entry, and another one that is relayed to it
    Then the entry has recorded one refusal

  # Guards against refusals of organisations that stay below their shares.
  Scenario: Only organisations that totals do not list are limited together
    Given an entry whose totals list "a" at 60 and "b" at 5, and others at 40, of 20 requests a second
    When "a", "b" and an organisation that is not listed ask 100 times each
    Then "b" is never refused, and the other two are

  # Guards against a part that sends or keeps something while it is off.
  Scenario: A part that is off sends only empty fields
    Given an entry whose part is off, for a service that is full
    When requests arrive, find no slot and are answered, and reports of others arrive
    Then its reports take 3 bytes each, and it keeps nothing

  # Guards against gauges of shares that have ended, and that grow with organisations.
  Scenario: Metrics list the shares and the most refused organisations of now
    Given an entry with shares in force
    When 30 organisations are refused, at first some and then others more often
    Then its metrics list shares in force and the 20 most refused organisations
    But none of them after the part becomes inactive

  # Guards against refusals without a time to return, or without a reason for operators.
  Scenario: A gateway refuses what is over a share, and operators see why
    Given a gateway with the modes "shares=on" and one upstream with 4 slots
    When "flood" sends 60 requests a second, and "calm" 4, for 8 s
    Then "calm" is served in 90 of 100, and "flood" was refused with over_fair_share
    And each of these refusals has a time to return, and has not run
    And operators see the shares, the refusals and the reason for one of them
