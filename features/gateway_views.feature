Feature: Operators see gateways through the command line

  Scenario: VMs are shown with what each gateway knows of them
    Given 2 gateways with 1 upstream that know each other
    Then "gateway vm" of both shows "g1" and "g2" as known to 2 gateways
    When the second gateway is killed
    Then "gateway vm" of both shows the second one's silence

  Scenario: A draining upstream is shown until its work has ended
    Given a gateway with 2 upstreams in different zones
    When a request runs for 1 s at an upstream that then drains
    Then "gateway drain" shows it with 1 request in flight
    And "gateway drain" shows it idle within 4 s

  Scenario: An evacuation is shown with its age and what still runs there
    Given a gateway with 2 upstreams in different zones
    When the zone of the first upstream is evacuated
    Then "gateway evacuations" shows "a2" within 3 s
    When the zone is taken back
    Then "gateway evacuations" shows none within 3 s

  Scenario: The configuration in force, the ones before, and their differences
    Given a gateway with 1 upstream
    When a configuration adds the route "/more/"
    Then "/more/x" is answered 200 within 2.0 s
    And "gateway config show" prints the route "/more/"
    And "gateway config history" lists versions 2 and 4 with their ages
    And "gateway config diff" against version 2 shows that "/more/" was added

  # Guards against a 404 for a newly added route on one VM only. The store
  # refuses one VM while the configuration changes. The commands of
  # docs/OPERATIONS.md find it from the addresses alone.
  Scenario: A configuration that is not in force on one VM is explained
    Given 2 gateways that follow different stores
    When a configuration reaches the first one's store only and the other's fails
    Then "gateway status" shows versions 4 and 2, and the second's store age
    And "gateway config diff" between the two shows that "/more/" was added
    And the second one's log says since when it has no word, and why
