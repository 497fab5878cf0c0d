Feature: Many registrations that change at once take one line

  # Guards against a log without the reasons why requests fail: with a line for
  # each registration of a first listing, the rate limit drops other lines for
  # seconds.
  Scenario: The first listing of a large fleet takes a few lines
    Given an entry that follows a store with 539 upstreams and 195 entries
    When it takes the first listing
    Then it has written 3 lines at most
    And one of them counts 734 changes, by service and zone

  # Guards against a change of one upstream that is hidden in an aggregate.
  Scenario: A few changes have their own lines
    Given an entry that follows a store with 539 upstreams and 195 entries
    When it takes the first listing
    And 3 upstreams drain
    Then it has written a line for each of them

  # Guards against a log that is flooded when a fleet restarts: ended upstreams
  # are counted as well as new ones.
  Scenario: Beyond twenty changes of one answer the rest is counted
    Given an entry that follows a store with 539 upstreams and 195 entries
    When it takes the first listing
    And 60 upstreams drain
    Then it has written 21 lines at most
    And one of them counts 40 changes, by service and zone
