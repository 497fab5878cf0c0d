Feature: Short runs are not kept out by long ones

  # Guards against nine in ten short requests of a service refused or late, but
  # hardly any long one. Demand exceeds the slots, and long requests with
  # generous latency targets made queues that no short one can accept.
  Scenario Outline: More is asked of a service than its slots
    Given 4 upstreams of 5 slots that get short runs of 0.1 s and long ones of 0.45 s
    When <times> times their slots are asked for 12 s, with waits at the entry
    Then 0.8 of the short requests are answered in their aim
    And what is answered in its aim takes 0.85 of the slots

    Examples: a third more, and two thirds more
      | times |
      | 1.2   |
      | 1.5   |

    Examples: two and a half times as much
      | times |
      | 2.4   |

  Scenario: Waits take nothing from anybody where there is room
    Given 4 upstreams of 5 slots that get short runs of 0.1 s and long ones of 0.45 s
    When 0.8 times their slots are asked for 12 s, with waits at the entry
    Then 0.95 of the short requests are answered in their aim
    And 0.95 of the long requests are answered in their aim

  # Guards against an entry whose memory or processor is exhausted by waiting
  # requests. Their number, the size of their bodies and the rate of their
  # attempts had no limit.
  Scenario: What waits at an entry is bounded
    Then at most 64 requests and 8388608 bytes wait, and look 134 times a second
    And a request waits no longer than 2 s, and not when it cannot be timely

  # Guards against requests that must not repeat being lost or run twice after a
  # wait at the entry, or standing in an upstream's queue ahead of short
  # requests. More of them arrive at once than there are slots.
  Scenario: Requests that wait at the entry run once, each in a slot of its own
    Given a gateway with 1 upstream that works 0.15 s
    And a route "/short/" with an aim of 0.3 s and "/long/" with one of 1.5 s
    When 7 requests to "/long/x" are sent side by side
    Then each was answered and ran once, and none of them joined a queue
