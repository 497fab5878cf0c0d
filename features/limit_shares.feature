Feature: Small limits of upstreams are kept and used by any number of entries
  Uses the real messages in virtual time, without sockets. Operators tolerate 1.5
  times a limit and 5 requests in any 4 s.

  # Guards against parts of a limit that are smaller than one request.
  Scenario Outline: Entries keep to a limit, and use it
    Given <entries> entries in <zones> zones that hear each other
    When an upstream states <limit> a second, and callers ask it for 3 times as many
    Then no window has more requests than the operators tolerate
    And the upstream gets between <least> and 1.25 of its limit in the last 30 s
    And within 1.0 s all entries that hear others knew the limit

    Examples:
      | entries | zones | limit | least |
      | 9       | 6     | 2.7   | 0.85  |
      | 9       | 6     | 12    | 0.85  |
      | 84      | 6     | 2.7   | 0.85  |
      | 84      | 6     | 0.5   | 0.6   |
      | 195     | 9     | 2.7   | 0.85  |

  # Guards against processes that start again and use a limit once more.
  Scenario: Entries that restart all the time
    Given 9 entries in 6 zones that hear each other
    When an upstream states 2.7 a second, and an entry restarts every 1 s
    Then no window has more requests than the operators tolerate

  # Guards against entries that use the whole limit each while they are cut off.
  Scenario: Entries that hear nothing of the others for a while
    Given 9 entries in 6 zones that hear each other
    When an upstream states 2.7 a second, and 3 entries hear no others from 8 s to 16 s
    Then no window has more requests than the operators tolerate

  # Guards against a limit that other entries keep after it has ended.
  Scenario: A limit ends for all entries
    Given 84 entries in 6 zones that hear each other
    When an upstream states 2.7 a second for 10 s, and then none
    Then within 1.5 s no entry knows a limit

  # Guards against an upstream that is never asked again.
  Scenario: A limit of 0 ends once it is not stated any more
    Given 9 entries in 6 zones that hear each other
    When an upstream states 0 a second for 10 s, and then none
    Then within 12 s no entry knows a limit

  # Guards against a burst before a limit is known that locks its upstream out.
  Scenario: An upstream states a limit of 0 during a burst
    Given 9 entries in 6 zones that hear each other
    When an upstream states 0 a second, and callers ask it for 60 a second
    Then no window has more requests than the operators tolerate
    And the upstream never waits longer than 9 s for its next request
