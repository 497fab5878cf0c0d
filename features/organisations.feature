Feature: Organisations at the gateway
  Runs the emulated platform with organisations in its configuration: "blue"
  with the keys "b-1" and "b-2", and "green" with the key "g-1".

  Scenario Outline: An upstream gets the organisation's name and no key
    Given a gateway with organisations
    When "/safe/x" is asked for with the header "Authorization" of "<value>"
    Then it is answered 200
    And the upstream got the organisation "blue" and no key

    Examples:
      | value      |
      | Bearer b-1 |
      | bearer b-2 |
      | BEARER b-1 |

  Scenario Outline: A caller without a known key is refused before its request runs
    Given a gateway with organisations
    When "/safe/x" is asked for with the header "Authorization" of "<value>"
    Then it is answered 401
    And no upstream ran it as an organisation's

    Examples:
      | value       |
      | Bearer none |
      | Bearer      |
      | Basic b-1   |
      | b-1         |
      | Bearer B-1  |

  Scenario: A request with two keys is refused as malformed
    Given a gateway with organisations
    When "/safe/x" is asked for with two Authorization headers
    Then it is answered 400
    And no upstream ran it as an organisation's

  # Guards against a caller that passes itself off as another organisation.
  Scenario Outline: An organisation's name that a caller sends is never passed on
    Given a gateway with organisations
    When "<path>" is asked for as "Bearer b-1" with the organisation "green" in the header "<header>"
    Then it is answered 200
    And the upstream got the organisation "<organisation>" and no key

    Examples:
      | path      | header              | organisation |
      | /safe/x   | X-Almondstair-Tenant | blue        |
      | /safe/x   | x-almondstair-TENANT | blue        |
      | /public/x | X-Almondstair-Tenant |             |

  Scenario: A public route needs no key
    Given a gateway with organisations
    When "/public/x" is asked for without a key
    Then it is answered 200

  # Guards against a removed key that works on as long as its connection lives.
  Scenario: A removed key ends on open connections, and an added one begins
    Given a gateway with organisations
    And a connection on which "b-1" was answered 200
    When a configuration gives "blue" the key "b-3" in place of all others
    Then "b-1" is answered 401 on that connection within 2.0 s
    And "b-3" is answered 200 on that connection within 2.0 s
    And "g-1" is answered 200 on that connection within 2.0 s

  Scenario: A request sent behind another on its connection has its own key
    Given a gateway with organisations
    When requests with the keys "b-1", "none" and "g-1" are sent together on one connection
    Then they are answered 200, 401 and 200 in this order

  Scenario: A route and an organisation without a common region
    Given a gateway with organisations
    When "/west/x" is asked for with the header "Authorization" of "Bearer g-1"
    Then it is answered 503 of the kind "no_allowed_region" at once
    When "/west/x" is asked for with the header "Authorization" of "Bearer b-1"
    Then it is answered 200
    And the upstream that ran it is in the region "west"

  Scenario: An organisation's requests stay in its regions
    Given a gateway with organisations
    When "/safe/" is asked for 12 objects with the key "g-1"
    Then the upstreams that ran them are in the region "east"

  # Guards against keys of callers that an operator's terminal or a log keeps.
  Scenario: No key is in the log, the metrics or what operators see
    Given a gateway with organisations
    When "/safe/x" is asked for with the header "Authorization" of "Bearer b-1"
    And "/safe/x" is asked for with the header "Authorization" of "Bearer secret-9"
    Then neither "b-1" nor "secret-9" is in the log, the metrics, the status or the configuration that operators see
    And "gateway organisations" shows "blue" with 2 keys and at least 1 request

  Scenario Outline: A configuration with wrong organisations is refused whole
    Then organisations with <fault> are refused with "<text>"

    Examples:
      | fault                | text                                |
      | a name twice         | tenants[1] repeats blue             |
      | a key of two         | tenants[1].apiKeys has a key of blue |
      | an empty key         | tenants[0].apiKeys has an empty key |
      | a negative rate      | ratePerS                            |
      | a name with a break  | tenants[0].name                     |

  Scenario: An organisation's priority goes before the route's
    Then a route of priority 2 has priority 0 for an organisation of priority 0
    And it has priority 2 for an organisation without a priority

  Scenario: Finding an organisation costs the same among many
    Then a key among 10000 organisations is found in at most 3 times the time among 10

  Scenario: Over its quota an organisation is refused, and told when to return
    Given a gateway with organisations
    And "green" has a quota of 5 requests a second and a burst of 5
    When 60 requests with the key "g-1" are sent within 1 s
    Then between 10 and 40 of them are answered 200 and the others 429 with a Retry-After of at most 5 s
    And a request with the key "b-1" is answered 200
