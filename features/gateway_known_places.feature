Feature: Entries tell each other which upstreams know which objects

  # Guards against uncached runs at a third upstream when the second one would
  # be in time.
  Scenario: A place that one entry found is known to all
    Given entries of the zones "a1" and "b1" that tell each other their loads
    When the entry of "a1" sends object "o" to an upstream and both tell
    Then the entry of "b1" takes that upstream to know "o"
    And it does not tell it as a place that it found

  # Guards against a restarted entry that moves objects back to their home
  # upstreams.
  Scenario: An entry that is new hears of every place
    Given entries of one zone that tell each other their loads
    And the reporter knows the places of 4000 objects
    When the other entry is started again and tells its loads
    Then it knows the places of 4000 objects

  # Guards against cached-location reports that repeat forever.
  Scenario: A place is told for a while, and again when it is used later
    When an object is sent to an upstream each 0.1 s for 30 s
    Then its place was found 3 times
    And half a second after the last time nothing is told

  # Guards against more objects at an upstream than it can cache.
  Scenario: Places that an entry uses itself go before those that others tell
    Given an entry that was told of object "o" at "u1" and "u2"
    Then it takes "u1 u2" to know "o"
    When it sends "o" to "u3"
    Then it takes "u3" to know "o"
    When it sends "o" to nobody for 31 s, and is told of "u1" then
    Then it takes "u1" to know "o"

  # Guards against cached locations at upstreams that are gone.
  Scenario Outline: A place that takes no new work does not count
    Given an entry that knows object "o" at "u1" only
    When "u1" <what>
    Then "o" is taken to be known nowhere

    Examples:
      | what                 |
      | drains               |
      | cannot be reached    |
      | is evacuated         |
      | is not registered    |
