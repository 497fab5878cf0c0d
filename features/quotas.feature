Feature: Quotas hold over all entries and refuse nothing below them
  Uses the real messages in virtual time, without sockets: 84 entries in 6 zones
  of 3 regions, 55 ms apart. The operators tolerate 10% and 20 requests over a
  quota in any window of 5 s.

  # Guards against shares of the rate that are smaller than one request.
  Scenario Outline: An organisation below its quota is refused nothing
    Given an organisation with a quota of <quota> requests a second
    When it sends <rate> a second through <entries> for 20 s
    Then none of its requests is refused

    Examples:
      | quota | rate | entries              |
      | 1     | 0.6  | all entries          |
      | 12    | 7.5  | all entries          |
      | 12    | 7.5  | 2 entries            |
      | 206   | 129  | all entries          |
      | 206   | 129  | the entries of z0    |
      | 700   | 440  | all entries          |

  # Guards against requests refused while the totals of two zones change places.
  Scenario: Callers that move from one zone to another are refused nothing
    Given an organisation with a quota of 206 requests a second
    When it sends 129 a second for 20 s and moves from z0 to z4 after 8 s
    Then none of its requests is refused

  # Guards against a flood that entries grant before they hear of each other.
  Scenario Outline: A flood keeps within what operators tolerate
    Given an organisation with a quota of <quota> requests a second
    When it sends <rate> a second through <entries> for 8 s, and <times> times as many for 12 s
    Then no window of 5 s has more of its requests than tolerated
    And it gets at least 0.9 of its quota in the last 8 s

    Examples:
      | quota | rate | entries           | times |
      | 12    | 7.5  | all entries       | 7.5   |
      | 12    | 7.5  | 2 entries         | 7.5   |
      | 36    | 40   | all entries       | 2     |
      | 206   | 129  | all entries       | 7.5   |
      | 206   | 129  | the entries of z0 | 7.5   |
      | 700   | 440  | all entries       | 7.5   |

  # Guards against entries that grant the whole quota each while they are cut off.
  Scenario: A flood while a third of the entries hears of no other
    Given an organisation with a quota of 206 requests a second
    And 28 entries are cut off from the others
    When it sends 129 a second through all entries for 8 s, and 7.5 times as many for 12 s
    Then no window of 5 s has more of its requests than tolerated

  # Guards against a burst after quiet that is refused below the quota.
  Scenario: A burst after quiet is granted
    Given an organisation with a quota of 40 requests a second
    When it sends 2 a second for 20 s and 40 more within 0.3 s at 8 s
    Then none of its requests is refused
