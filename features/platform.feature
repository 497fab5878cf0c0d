Feature: Each failed platform call says whether it may have taken effect
  Claims and edits act on the difference. The platform is a process of its own.

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
    # Symptom: claims that never left this process are answered "unknown".
    # Sequence: the service hangs; calls take every place; one more waits for a
    # place until its time is up.
    # Cause: the HTTP client reports that like a call that was sent.
    When 32 writes hang and one more waits
    Then the one more failed as unavailable

  Scenario: A watch goes on after an outage
    # Symptom: changes made during an outage are never seen.
    When a watch runs over "a/"
    And "a/1" is written
    And the platform is out for 500 ms, and "a/2" was written meanwhile
    And "a/1" is deleted
    Then the watch saw a/1, a/2 and the deletion of a/1, each once

  Scenario: Changes forgotten by the service
    # Symptom: a watcher stays on old values for good.
    # Sequence: the watch asks for revisions that the service has dropped.
    When a watch meets a service that dropped what it asks for
    Then the watch tells a gap and goes on

  Scenario: The VM list
    When the VM list has a live VM and a leaving one
    Then the adapter lists both with the age of the list

  Scenario: A cancelled watch is closed
    # Symptom: the platform counts watches that nobody follows.
    # Sequence: an entry hands its watch to another and cancels its own.
    # Cause: a cancel that stops reading but leaves the connection open.
    When a watch runs over "a/"
    Then the platform counts 1 watch
    When the watch is cancelled
    Then the platform counts 0 watches
