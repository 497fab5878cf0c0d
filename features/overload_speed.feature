Feature: The speed that upstreams state is read and shown, and harms nobody

  # Guards against a figure that is misread, or that costs the other figures.
  Scenario Outline: The fourth figure of a load is read if it has a meaning
    When a response states the load "<load>"
    Then its first three figures are 3, 1 and 4
    And its speed is <percent>, with <unreadable> unreadable value

    Examples:
      | load            | percent | unreadable |
      | 3,1,4           | unknown | 0          |
      | 3,1,4,100       | 100     | 0          |
      | 3, 1, 4, 250, 7 | 250     | 0          |
      | 3,1,4,10        | 10      | 0          |
      | 3,1,4,1000      | 1000    | 0          |
      | 3,1,4,9         | unknown | 1          |
      | 3,1,4,1         | unknown | 1          |
      | 3,1,4,0         | unknown | 1          |
      | 3,1,4,1001      | unknown | 1          |
      | 3,1,4,99999     | unknown | 1          |
      | 3,1,4,slow      | unknown | 1          |
      | 3,1,4,          | unknown | 1          |
      | 3,1,4,-250      | unknown | 1          |
      | 3,1,4,2.5e2     | unknown | 1          |

  # Guards against an old figure that is taken for a new one.
  Scenario: A figure is shown with its age, and holds for a second
    Given an entry that keeps speeds
    When "u-0" states 250 at 10.0 s
    Then at 10.4 s "u-0" is slow, by a figure 0.4 s old
    And at 11.5 s "u-0" is not slow, by a figure 1.5 s old
    When "u-0" states nothing at 11.6 s
    Then at 11.8 s "u-0" is not slow, by a figure 1.8 s old

  # Guards against operators who are told of each turn of one machine, or never.
  Scenario: Operators are told when a whole service is slow, and when it ends
    Given an entry that keeps speeds
    When a sixth of 24 upstreams states 250 by turns for 20 s
    Then no change of the service is told
    When all 24 upstreams state 250 for 12 s
    Then one change of the service is told, to slow
    When all 24 upstreams state 100 for 20 s
    Then one change of the service is told, to usual

  # Guards against one answer after a silence that makes a service slow.
  Scenario: A single figure makes no service slow
    Given an entry that keeps speeds
    When "u-0" states 100 at 10.0 s
    And "u-0" states 1000 at 200.0 s
    Then no change of the service is told
    And 1 answer was usual and 1 was slow

  # Guards against a lasting effect of a momentary slowness on an upstream.
  Scenario Outline: What upstreams state changes no choice
    Given two entries with the same 12 upstreams, one of which hears speeds
    When each upstream states <figures> to it
    Then both entries choose the same upstreams for 200 objects
    And no upstream of it has failures, a rest, or another weight

    Examples:
      | figures            |
      | 250 or 100         |
      | 10 or 1000         |
      | 1, 0, 99999 or text |

  # Guards against a part that is switched off and works all the same.
  Scenario Outline: The gateway records speeds unless the part is off
    Given a recorder of responses with the part <mode>
    When a response with the load "3,1,4,250" and one with "3,1,4,text" are recorded
    Then the status page shows the speed <shown>
    And <unreadable> unreadable load was counted

    Examples:
      | mode | shown | unreadable |
      | on   | 250   | 1          |
      | off  | none  | 1          |

  # Guards against a table that fails on a gateway of an older version.
  Scenario: Operators see the speed of each upstream
    Then the table of upstreams shows "250% 0.3 s ago", and "unknown" for an older version

  # Guards against restarts or lost entries that leave speeds behind.
  Scenario: A restarted upstream has no speed until it answers
    Given an entry that keeps speeds
    When "u-0" states 250 at 10.0 s
    And "u-0" starts again at 10.1 s
    Then the speed of "u-0" is unknown

  # Guards against callers that pay for the false figures of an upstream.
  Scenario Outline: Lies cost no caller anything
    When uneven upstreams state "<states>" in place of their speed in "<pattern>"
    Then every request ends as if they told the truth

    Examples:
      | states | pattern          |
      | 1      | uneven-upstreams |
      | 99999  | uneven-upstreams |
      | text   | uneven-upstreams |
      | 1000   | uneven-upstreams |

    Examples: requests wait at the entry
      | states | pattern               |
      | 10     | short-and-long-at-1-5 |
      | 0      | short-and-long-at-1-5 |

  # Guards against slow turns that make an upstream count as failing for good.
  Scenario: Slow turns under a burst leave no upstream unused
    When uneven upstreams get 2.2 times their load for 4 s
    Then each upstream ran requests in the last 3 s

  # Guards against a real entry that loses the figure or keeps it too long.
  Scenario: An entry shows what an upstream states, and starts without it
    Given a gateway with 2 upstreams that state the speed "250", and the modes ""
    When 12 requests are sent side by side
    Then each of them was answered in one try
    And the operators see 250 at both, and 2 slow upstreams in the metrics
    When the gateway is killed and starts again
    Then the operators see no speed until a request was answered

  # Guards against an upstream whose false figures cost a caller anything.
  Scenario Outline: Upstreams that lie are used as the others
    Given a gateway with 2 upstreams that state the speed "<states>", and the modes "<modes>"
    When 12 requests are sent side by side
    Then each of them was answered in one try
    And the operators see no speed, and that the loads are used

    Examples:
      | states | modes      |
      | 1      |            |
      | 0      |            |
      | 99999  | waiting=on |
      | text   |            |
      | 250    | speed=off  |
