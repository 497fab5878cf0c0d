Feature: The command-line tool against running entries

  Background:
    Given two regions with an entry and two upstreams each

  # Guards against upstreams without traffic shown as unknown, because they
  # report `draining` as 0 or 1 and a parser that accepts only true and false
  # discards the report.
  Scenario: The status shows the reports of upstreams without traffic
    Then within 5 s the status has a report of every upstream
    And the status has an answer of every entry

  # Guards against a VM that the platform lists as leaving but still gets
  # requests: the list is requested under a wrong path and never answers,
  # because the URL in the settings already ends in the path that the entry
  # appends.
  Scenario: A VM that leaves by the platform's list is shown as leaving
    When the platform's list says that upstream "r1-u0" leaves
    Then within 5 s the drain of "r1-u0" is leaving

  Scenario: An edit is accepted when it is in force everywhere
    When the operator of "r1-e0" runs `profile set local headroom_fraction 0.3`
    Then the exit code is 0
    And the output says "accepted: version 2"
    When the operator of "r2-e0" runs `profile list --json`
    Then the output says ""headroom_fraction": "0.3""

  Scenario: A VM leaves and comes back
    When the operator of "r2-e0" runs `vm leave r1-u0 --wait_s=10`
    Then the exit code is 0
    And the output says "r1-u0 has no work left"
    When the operator of "r1-e0" runs `vm return r1-u0`
    Then the exit code is 0
    And the output says "r1-u0 takes work again"

  # Guards against a lost region that an operator takes for an idle one, because
  # its frozen entry sends nothing and silence is shown as low load.
  Scenario: A frozen entry is said not to answer
    When entry "r2-e0" is frozen
    And the operator of "r1-e0" runs `status`
    Then the exit code is 0
    And the row of "r2-e0" says NO
    And the row of "r2-u0" says unknown
    And the notes say "does not answer"

  Scenario: The platform's outage is told and what is in force is still shown
    When the platform is taken down
    And the operator of "r1-e0" runs `profile set local headroom_fraction 0.3`
    Then the exit code is 11
    And the notes say "The entries go on with the configuration in force"
    When the operator of "r1-e0" runs `config show --json`
    Then the exit code is 0
    And the output is JSON with "version" as 1
