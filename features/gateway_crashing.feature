Feature: A request that crashes upstreams is stopped by every gateway

  # Guards against upstreams that crash one after the other because a request is
  # resent faster than its crash report arrives.
  Scenario Outline: A crashing request is resent at any pace through all gateways
    Given <gateways> gateways in <zones> zones with 8 upstreams
    And requests to "<path>" end the upstreams that run them
    And resends come <width> at a time, <pause> s apart
    When a <method> of "<path>" is sent and resent <waves> times
    Then at most 3 upstreams have ended
    And every refusal as quarantined says that it has not run, and when to return
    And "/safe/x" is answered 200 through every gateway within 2.0 s

    Examples:
      | gateways | zones | method | path           | waves | width | pause |
      | 2        | 1     | POST   | /unsafe/poison | 20    | 1     | 0     |
      | 2        | 3     | POST   | /unsafe/poison | 20    | 1     | 0.01  |
      | 2        | 1     | GET    | /safe/poison   | 20    | 1     | 0.05  |
      | 2        | 1     | POST   | /unsafe/poison | 10    | 4     | 0.15  |
      | 8        | 3     | GET    | /safe/poison   | 10    | 4     | 0     |
      | 8        | 3     | POST   | /unsafe/poison | 10    | 20    | 0     |
      | 8        | 3     | GET    | /unsafe/poison | 6     | 20    | 0.4   |
      | 2        | 3     | POST   | /safe/poison   | 4     | 20    | 2     |

  # Guards against a lookup that is refused because it ran on upstreams that
  # ended for another reason.
  Scenario: Upstreams that end together do not put a look-up under suspicion
    Given 3 gateways in 3 zones with 9 upstreams
    When 3 upstreams are killed while they run the same look-up
    Then that look-up is answered through every gateway within 1.0 s
    And of 60 of that look-up, 6 at a time, at most 3 are not answered

  # Guards against a lookup that is refused because it ran on upstreams that
  # ended for another reason, when some of its runs had just started.
  Scenario: Look-ups that had just begun where three upstreams end refuse nothing
    When 3 upstreams end within 10 ms, each with a look-up that ran 200 ms and one that ran 1 ms
    Then that look-up is suspect, and not refused

  # Guards against lookups that are refused because live upstreams lost
  # responses.
  Scenario: Lost answers of live upstreams refuse a look-up for a moment only
    Given 3 gateways in 3 zones with 9 upstreams
    And every upstream loses one answer in 4
    When the same look-up is sent 120 times, 6 at a time
    Then at most 12 of them are refused as quarantined
    And that look-up is answered through every gateway within 1.0 s

  # Guards against entries of several regions that each send a crashing request
  # to one upstream.
  Scenario Outline: A crashing request is resent through 195 entries of three regions
    Given 195 entries in 9 zones of 3 regions, 539 upstreams and a route <placed>
    When one request that ends its upstreams is resent by <callers> callers for 4 s
    Then 1 to 3 of the modelled upstreams have ended
    And more than <callers> sends were refused

    Examples:
      | placed         | callers |
      | placed by key  | 1       |
      | placed by key  | 20      |
      | without a key  | 1       |
      | without a key  | 20      |
