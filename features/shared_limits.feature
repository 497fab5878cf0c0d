Feature: Limits that entries divide among themselves hold over all of them
  Uses the gateway's own limits in virtual time, without sockets: 9 entries with
  leases of 3 s. Operators allow 0.2 retries per request and 58 in addition in
  any 10 s, and 12 requests a second to a cold upstream. Every entry uses
  whatever its limits allow.

  # Guards against a budget that is spent again after each restart.
  Scenario Outline: Entries that restart do not spend the retry budget again
    Given 9 entries with <rate> requests a second each
    When <killed> of them are killed <times> times, <pause> s apart
    Then no window has more retries than the budget allows
    And at least <least> requests are retried

    Examples:
      | rate | killed | times | pause | least |
      | 1    | 7      | 3     | 1.5   | 30    |
      | 1    | 9      | 3     | 4     | 30    |
      | 10   | 9      | 2     | 5.5   | 150   |
      | 0    | 8      | 5     | 1     | 10    |

  # Guards against shares that grow while other entries still use theirs.
  Scenario Outline: Entries whose registrations lapse do not exceed the budget
    Given 9 entries with <rate> requests a second each
    When <event>
    Then no window has more retries than the budget allows
    And at least <least> requests are retried

    Examples:
      | rate | least | event                                              |
      | 1    | 30    | 8 entries are cut off from the store for 12 s      |
      | 10   | 150   | 8 entries are cut off from the store for 12 s      |
      | 1    | 30    | the store is away for 8 s and loses all leases     |
      | 1    | 30    | leases lapse twice and all entries are killed once |

  # Guards against a budget that outlasts the load that it was computed from.
  Scenario: A load that falls off takes the retry budget with it
    Given 9 entries with 30 requests a second each
    When the load falls to 0.5 requests a second each
    Then no window has more retries than the budget allows

  # Guards against shares that grow while other entries still use theirs.
  Scenario Outline: Entries that are cut off do not add to a cold upstream's requests
    Given 9 entries that start <gap> s apart
    When 8 entries are cut off from the store for 12 s
    Then a cold upstream gets between 6 and 12 requests in its busiest second

    Examples:
      | gap |
      | 0   |
      | 0.1 |
