Feature: Silence and lies draw no work
  Runs real processes; the reports of upstreams and entries differ from their
  behaviour.

  # Guards against an upstream that answers every request with an error and gets
  # more and more of them: it fails at once, and its free slots, idle load
  # report and good health endpoint outweigh its responses.
  Scenario: Answers fail at once while health says well
    Given a region with an entry and three upstreams
    When look-ups come for 2 s
    And "r1-u0" fails its answers at once while its health says well
    And look-ups come for 4 s
    Then the share of "r1-u0" fell below half of what it was

  # Guards against a slow upstream that keeps its share of requests while its
  # load report stops, stays at idle or always says idle, because silence is
  # taken for low load or a claim for a measurement.
  Scenario: Load reports stop, freeze and lie while answers get slow
    Given a region with an entry and four upstreams
    When look-ups come for 2 s
    And "r1-u0" gets slow and its load reports stop
    And "r1-u1" gets slow and its load reports freeze
    And "r1-u2" gets slow and its load reports lie
    And look-ups come for 3 s
    Then the shares of "r1-u0, r1-u1, r1-u2" are below 0.6 of a fair share
    And no upstream of the deployment exceeded its slots

  # Guards against callers that wait for a region whose entries are all frozen,
  # because their last reports, which said idle, are taken for their state.
  Scenario: The entries of a region fall silent
    Given two regions, spread, with an entry and two upstreams each
    When look-ups come to "r1-e0" for 2 s
    And entry "r2-e0" freezes
    And 2 s pass
    And look-ups come to "r1-e0" for 3 s at twice the slots of "r1"
    Then no look-up of that time ran in "r2"
    And no upstream of the deployment exceeded its slots
    And no caller waited for a silent entry, and refusals say when to come back

  # Guards against errors in a third of all responses while other regions work:
  # each upstream of a region fails quickly, its complete responses count as
  # successful ones, and the region looks least loaded.
  Scenario: All answers of a region fail while it reports idle
    Given two regions, spread, with an entry and two upstreams each
    When look-ups come to "r1-e0" for 2 s
    And the upstreams of "r2" fail their answers at once
    And look-ups come to "r1-e0" for 4 s
    Then the share of "r2" in the last 2 s is at most 0.1
