Feature: A crashing request is stopped though heartbeats leave late

  # Guards against a third upstream that ends while the report on the second one
  # waits for a thread.
  Scenario Outline: A crashing request is resent while heartbeats leave late
    Given three regions with an entry and three upstreams each, whose heartbeats leave late
    When a <kind> that crashes upstreams is sent 20 times through all entries
    Then 1 to 2 upstreams have ended
    And the last 3 answers are "quarantined" with a time to come back
    And within 5 s another <kind> is answered through every entry

    Examples:
      | kind       |
      | GET        |
      | keyed POST |
