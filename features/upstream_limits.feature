Feature: Entries together keep to the limits that upstreams state
  An upstream in need states in its answers how many requests a second it takes
  from all entries. Operators tolerate 1.5 times as many and 5 in any 4 s.

  # Guards against entries that send on as before to an upstream with a limit.
  Scenario: One upstream of four states a limit
    Given 3 gateways with 4 upstreams that know each other
    When 1 upstream states a limit of 2.7 a second
    And 30 requests a second are sent through all gateways for 12 s
    Then no upstream with a limit got more than the operators tolerate
    And each of them got at least 0.7 of its limit in the last 8 s
    And at least 0.99 of the requests were answered 200
    And "why" tells of a request that went elsewhere for a limit
    And the status of each gateway shows the limit

  # Guards against requests that wait for room that does not come.
  Scenario: All upstreams of a service state a limit
    Given 3 gateways with 4 upstreams that know each other
    When 4 upstreams state a limit of 3 a second
    And 30 requests a second are sent through all gateways for 12 s
    Then no upstream with a limit got more than the operators tolerate
    And each of them got at least 0.7 of its limit in the last 8 s
    And the others were refused within 0.15 s as "upstreams_limited", with a time to come back

  # Guards against a limit that outlasts what the upstream states.
  Scenario: A limit ends with the first answer without it
    Given 3 gateways with 4 upstreams that know each other
    When 4 upstreams state a limit of 1 a second
    And 20 requests a second are sent through all gateways for 5 s
    And the upstreams state no limit
    And 20 requests a second are sent through all gateways for 3 s
    Then at least 0.95 of the requests were answered 200 in the last 2 s

  # Guards against an upstream with a limit of 0 that never gets another request.
  Scenario: A limit of 0 lets a request through now and then
    Given 3 gateways with 4 upstreams that know each other
    When 1 upstream states a limit of 0 a second
    And 30 requests a second are sent through all gateways for 12 s
    Then no upstream with a limit got more than the operators tolerate
    And each of them got at least 1 requests in the last 8 s

  # Guards against a limit that cannot be read and stops an upstream or a gateway.
  Scenario Outline: A limit that cannot be read is ignored
    Given 3 gateways with 4 upstreams that know each other
    When 4 upstreams state the limits <values>
    And 20 requests a second are sent through all gateways for 3 s
    Then at least 0.99 of the requests were answered 200
    And no gateway knows a limit, and each logged one line of it at most

    Examples:
      | values                  |
      | "", "-1", "nan", "inf"  |
      | "1e3", "2.7x", "0x2"    |
      | "2.7" and "2.7" at once |
      | of 4000 digits          |

  # Guards against processes that start again and use a limit once more.
  Scenario: Gateways that restart keep to a limit together
    Given 3 gateways with 4 upstreams that know each other
    When 1 upstream states a limit of 2 a second
    And 30 requests a second are sent for 14 s, while each gateway is killed and starts again
    Then no upstream with a limit got more than the operators tolerate
