Feature: Entries tell each other which upstreams know which objects

  # Guards against runs as new at a third place, when the second would be in time.
  Scenario: A place that one entry found is known to all
    Given entries of the zones "a1" and "b1" that tell each other their loads
    When the entry of "a1" sends object "o" to an upstream and both tell
    Then the entry of "b1" takes that upstream to know "o"
    And it does not tell it as a place that it found

  # Guards against an entry that was started again and moves objects to their homes.
  Scenario: An entry that is new hears of every place
    Given entries of one zone that tell each other their loads
    And the reporter knows the places of 4000 objects
    When the other entry is started again and tells its loads
    Then it knows the places of 4000 objects

  # Guards against words on places without end: each is told for half a second, and
  # again when it is used after ten seconds.
  Scenario: A place is told for a while, and again when it is used later
    When an object is sent to an upstream each 0.1 s for 30 s
    Then its place was found 3 times
    And half a second after the last time nothing is told

  # Guards against a home that is taken to know an object which all entries have
  # sent elsewhere: it would be run as new, with the slots and the wait of a known one.
  Scenario Outline: A home is presumed to know what nobody has sent anywhere
    Given a home "u0" with free slots, and "u1" where one request would wait
    When <known> is told to know the object
    Then its request goes to "<goes>"

    Examples:
      | known  | goes |
      | nobody | u0   |
      | u1     | u1   |
      | u0     | u0   |

  # Guards against places that are gone: an object would have no home until the
  # memory of its places is over.
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
