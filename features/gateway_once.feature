Feature: What must not repeat runs once, and a refusal is true

  # Guards against a payment that is approved twice. An upstream runs a request
  # and its response is lost. A missing response was taken for "not run", and
  # the request was sent to another upstream.
  Scenario Outline: Work whose answer is lost is not sent again
    Given a gateway with 2 upstreams
    And the second upstream's fault "<fault>" strikes every 1 requests
    And the upstream's fault "<fault>" strikes every 1 requests
    When 4 requests with bodies are sent to "/unsafe/x"
    Then every one is answered 502
    And each of them ran once

    Examples:
      | fault |
      | lost  |
      | cut   |

  Scenario: Work that an upstream certainly did not run goes to another one
    Given a gateway with 2 upstreams
    And the first upstream's fault "shed" strikes every 1 requests
    When 6 requests with bodies are sent to "/unsafe/x"
    Then every one is answered 200
    And each of them ran once

  # Guards against a service that runs requests of another service. An upstream
  # ends and its address is reused by the other service. The address alone was
  # trusted; each request names the incarnation it is meant for.
  Scenario: An address that another service took over runs nothing of the old one
    Given a gateway with 1 upstream
    When the upstream is killed and its address goes to another service
    And 5 requests go to "/safe/x"
    Then no upstream of the other service ran one

  Scenario: Without room a request is refused at once with a time to come back
    Given a gateway with 1 upstream that works 0.5 s
    When 40 requests to "/unsafe/x" are sent side by side
    Then some are refused with 503 and a time to come back within 0.2 s
    And no refused request ran

  # Guards against upstreams that work for disconnected callers. A caller closes
  # its connection, and the upstream was not notified.
  Scenario: A caller that leaves frees its upstream
    Given a gateway with 1 upstream that works 1 s
    When a caller sends "/safe/x" and leaves after 0.2 s
    Then the upstream drops the request within 0.5 s

  Scenario: A caller that leaves with another request waiting frees its upstream
    Given a gateway with 1 upstream that works 1 s
    When a caller sends "/safe/x" twice together and leaves after 0.2 s
    Then the upstream drops the request within 0.5 s

  Scenario: An upstream is given no more time than is left
    Given a gateway with 1 upstream
    When a request to "/safe/x" states a deadline of 700 ms
    Then the upstream was given at most 700 ms

  Scenario: A request is answered at its route's timeout
    Given a gateway with 1 upstream
    And the upstream is 100 times slower
    When 1 requests go to "/safe/x"
    Then every one is answered 504
    And the answer came after 2.0 s and before 2.4 s

  # Guards against upstreams that crash one after the other. A request crashes
  # the upstream that runs it, and its caller retries through any gateway. No
  # record was kept of what had been running there.
  Scenario: A request that crashes upstreams ends three at most
    Given 2 gateways with 6 upstreams
    And requests to "/unsafe/poison" end the upstreams that run them
    When 10 requests to "/unsafe/poison" are sent through both, 0.4 s apart
    Then at most 3 upstreams have ended
    And "/safe/x" is answered 200 within 2.0 s
