Feature: A planned stop cuts off nobody

  Scenario: A stop lets running requests end and exits in time
    Given a gateway with 1 upstream that works 1 s
    When a request is under way and the gateway gets SIGTERM
    Then the request is answered 200
    And the gateway is gone within 4.0 s with code 0

  # Guards against a request sent seconds after SIGTERM that ends without a
  # response. A caller keeps using its connection, and its request is forwarded
  # shortly before the process must end. Requests were accepted until the end.
  Scenario: A request that comes too late is refused and not cut
    Given a gateway with 1 upstream that works 1 s
    When the gateway gets SIGTERM and a caller keeps sending on open connections
    Then every request was answered or its connection closed before it was read
    And the gateway is gone within 4.0 s with code 0

  Scenario: A stopping gateway is out of look-ups at once
    Given 2 gateways with 1 upstream
    When the second gateway gets SIGTERM
    Then look-ups name 1 gateways within 1.5 s
    And the second gateway is not ready
