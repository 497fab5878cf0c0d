Feature: Each failed platform call says whether it may have taken effect
  Claims and edits depend on the difference. The platform is a separate process.

  Background:
    Given a platform and an adapter with a limit of 300 ms

  Scenario: Writes and reads
    When a key is created twice
    Then the first succeeded, and the second tells what the first wrote
    And a write on the first's revision succeeds, a second on it does not
    And deleting on an old revision does nothing, on the last it deletes

  Scenario: A batch holds its conditions one by one
    When a batch writes a present key and an absent one
    Then the absent one is written and the present one is told

  Scenario Outline: A failed call
    When the fault "<fault>" meets a <call>
    Then the call failed as <failure>
    And the key was <effect>

    Examples:
      | fault            | call  | failure     | effect      |
      | an answer lost   | write | unknown     | written     |
      | a call lost      | write | unknown     | not written |
      | a long delay     | write | unknown     | written     |
      | a long delay     | read  | unavailable | not written |
      | an outage        | read  | unavailable | not written |
      | an end           | write | unavailable | not written |
      | a lease gone     | write | refused     | not written |

  Scenario: More calls than places
    # Guards against claims that never left the process but are answered
    # "unknown": the service hangs, calls take every slot, and the timeout of
    # one more that waits for a slot is reported like that of a call that was
    # sent.
    When 32 writes hang and one more waits
    Then the one more failed as unavailable

  Scenario: A watch goes on after an outage
    # Guards against changes during an outage that a watch never reports.
    When a watch runs over "a/"
    And "a/1" is written
    And the platform is out for 500 ms, and "a/2" was written meanwhile
    And "a/1" is deleted
    Then the watch saw a/1, a/2 and the deletion of a/1, each once

  Scenario: Changes forgotten by the service
    # Guards against a watcher that keeps old values for good because its watch
    # starts from revisions that the service has dropped.
    When a watch meets a service that dropped what it asks for
    Then the watch tells a gap and goes on

  Scenario: The VM list
    When the VM list has a live VM and a leaving one
    Then the adapter lists both with the age of the list

  Scenario: A cancelled watch is closed
    # Guards against watches at the platform that nobody reads, because an entry
    # that hands its watch over to another one stops reading its own but leaves
    # the connection open.
    When a watch runs over "a/"
    Then the platform counts 1 watch
    When the watch is cancelled
    Then the platform counts 0 watches
