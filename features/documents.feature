Feature: Edits of the configuration as text

  Scenario: Setting a field keeps every comment and every other line
    Given the configuration of "tallow-brae"
    When the field "headroom_fraction" of profile "local" is set to 0.25
    Then the only line that differs is "headroom_fraction = 0.25"
    And the changed keys are "profiles.local.headroom_fraction"
    And the configuration is valid

  Scenario: A service is put under another profile
    Given the configuration of "wattanakul"
    When the service "quoting" is put under the profile "spread"
    Then the only line that differs is "profile = "spread""
    And the changed keys are "services.quoting.profile"
    And the configuration is valid

  # Guards against a comment that ends up above the wrong table. A new profile
  # is inserted after the other profiles, and the library attaches the comment
  # above the next table to the table before it.
  Scenario: A new profile parts no comment from its table
    Given the configuration of "tallow-brae"
    When the field "policy" of profile "night" is set to "spread"
    And the field "headroom_fraction" of profile "night" is set to 0.5
    And the service "intake" is put under the profile "night"
    Then no line is gone but "profile = "spread""
    And the line after "# Matching and approval: bookkeepers at their desks." is "[services.matching]"
    And the changed keys are "profiles.night, services.intake.profile"
    And the configuration is valid

  Scenario: Marks come and go
    Given the configuration of "tallow-brae"
    When the text marks "matching-se1-1" as leaving
    And the text marks "scot-east-1a" as leaving
    And the text marks "matching-se1-1" as staying
    Then the only line that differs is "leaving = ["scot-east-1a"]"
    When the text marks "scot-east-1a" as staying
    Then nothing differs

  Scenario: A mark that is there already changes nothing
    Given the configuration of "tallow-brae"
    When the text marks "matching-se1-1" as staying
    Then nothing differs

  Scenario Outline: What is not there is said with what may be meant
    Given the configuration of "tallow-brae"
    When the service "<service>" is put under the profile "<profile>"
    Then the edit is refused as "not_found" with "<remedy>"

    Examples:
      | service  | profile | remedy         |
      | matchin  | local   | write matching |
      | matching | lokal   | write local    |

  Scenario: A field of a profile that is not there is refused
    Given the configuration of "tallow-brae"
    When the field "headroom_fraction" of profile "lokal" is set to 0.5
    Then the edit is refused as "not_found" with "write local"

  # Guards against an edit of one profile that changes another setting. The
  # document formats its tables unusually and is written back wrongly, because
  # the written text was not read back for comparison.
  Scenario: An edit that the document's form does not allow is refused
    Given the configuration text
      """
      profiles = { local = { policy = "local" } }
      """
    When the field "policy" of profile "night" is set to "spread"
    Then the edit is refused as "configuration_invalid" with "put the tables"

  Scenario Outline: Differences are named by key
    Given the configuration of "tallow-brae"
    When in the text <old> is rewritten to <new>
    Then the changed keys are "<keys>"

    Examples:
      | old                  | new                                                        | keys                                                     |
      | latency_ms = 55.0    | latency_ms = 50.0                                          | links[scot-east-1>scot-west].latency_ms                  |
      | deadline_ms = 2000   | deadline_ms = 2500                                         | services.matching.classes[look_up].deadline_ms           |
      | name = "look_up"     | name = "find"                                              | services.matching.classes[find], services.matching.classes[look_up] |
      | # A doubled approval | # One doubled approval                                     |                                                          |
      | slots = 3            | slots = 4                                                  | upstreams.matching-se1-1.slots                           |
      | [marks]              | [upstreams.new]~slots = 3~[marks]                          | upstreams.new                                            |

  Scenario: The order of request classes is a difference
    Given the configuration text
      """
      [[services.a.classes]]
      name = "x"
      [[services.a.classes]]
      name = "y"
      """
    When the whole text becomes
      """
      [[services.a.classes]]
      name = "y"
      [[services.a.classes]]
      name = "x"
      """
    Then the changed keys are "services.a.classes"
