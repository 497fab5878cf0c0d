Feature: Gateways serve through a restore of the store from a copy

  # Guards against an old configuration that stays in force for good.
  Scenario: A configuration that is written after a restore comes into force
    Given 3 gateways of one zone and 1 of another, with upstreams of 2 services
    When the store is restored from a copy 2 s old, the route is moved to the other service, and the old revision is passed before it answers
    Then every gateway runs requests at the other service within 2.5 s
    And no request of a caller has failed meanwhile

  # Guards against an upstream that stays in use for good after it has left.
  Scenario: An upstream whose entry is removed after a restore gets nothing
    Given 3 gateways of one zone and 1 of another, with upstreams of 2 services
    When the store is restored from a copy 4 s old while the gateways call it
    And 1 s later the registration of one upstream is removed
    Then it gets no request that was sent more than 2 s later
    And no request of a caller has failed meanwhile

  # Guards against a restore that only a trace of the processes would show.
  Scenario: A restore shows in logs, metrics and the status
    Given 3 gateways of one zone and 1 of another, with upstreams of 2 services
    When the store is restored from a copy 2 s old while the gateways call it
    Then every gateway logs the epoch, and shows it in metrics and status
    And every gateway is in the store again
