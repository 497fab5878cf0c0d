Feature: A configuration seen accepted is in force everywhere and stays

  Background:
    Given entries "a, b, c" over one platform

  Scenario: An edit is accepted only once every entry has it in force
    When operator "moira" edits version 1
    Then the edit is pending and lacks "a, b, c"
    When "a, b" learn of it from the platform
    Then the edit is pending and lacks "c"
    When "c" learns of it from its peer "b"
    Then the edit is accepted as version 2

  Scenario: An old report of a version does not count
    # Guards against an edit shown as accepted that is not in force on one
    # entry. The entry reported the version and fell silent, its VM was replaced
    # by one without it, and the old process's report counted for the new one.
    When operator "moira" edits version 1
    And "a, b, c" learn of it from the platform
    And "c" is silent for 10 seconds
    Then the edit is pending and lacks "c"

  Scenario: Two operators race and exactly one wins
    # Guards against an edit that is lost without an error to its operator. Two
    # operators read version 1 and both write. The second write did not name its
    # base version.
    When operators "moira" and "somchai" edit version 1 at once
    Then exactly one edit is applied
    And the other is told of the winner and its version
    And the platform's history names 2 edits

  Scenario: The answer to a write is lost and the write took effect
    # Guards against an operator who repeats an applied edit, or gets a conflict
    # with their own edit. The write takes effect and its response is lost. The
    # edit was not looked up by its ID.
    Given the platform loses the answer of the next write
    When operator "moira" edits version 1
    Then the fate of the edit is "pending"
    And the platform holds version 2
    And the platform's history names 2 edits

  Scenario: A write is lost before it takes effect
    Given the platform loses the next write
    When operator "moira" edits version 1
    Then the platform holds version 2
    And the platform's history names 2 edits

  Scenario: The answer is lost and the platform goes out
    # Guards against an edit reported as failed that comes into force. The write
    # takes effect, its response is lost, and the platform is down when the
    # entry reads back. A failed read back was taken for a failed write.
    Given the platform loses the answer of the next write and goes out
    When operator "moira" edits version 1
    Then the fate of the edit is "unknown"
    When the platform is back
    Then asking for the edit says "pending"

  Scenario: A lost write is known not to have held once its base is gone
    Given the platform loses the next write and goes out
    When operator "moira" edits version 1
    Then the fate of the edit is "unknown"
    When the platform is back
    Then asking for the edit says "unknown"
    When operator "somchai" edits version 1
    Then asking for the edit of "moira" says "not_found"

  Scenario: The platform is out before the write
    Given the platform is out
    When operator "moira" edits version 1
    Then the edit is refused with kind "platform_unavailable" and did not run

  Scenario: The platform is rolled back to an older version
    # Guards against the loss of an accepted configuration. The platform is
    # restored from a backup, and entries applied whatever version it served.
    Given the platform is backed up
    When operator "moira" edits version 1
    And "a, b, c" learn of it from the platform
    And the platform is rolled back
    Then every entry has version 2 in force
    And the platform holds version 1
    When operator "somchai" edits version 2
    Then the platform holds version 3
    When "a, b, c" learn of it from the platform
    Then the edit is accepted as version 3

  Scenario: After a rollback a silent entry blocks the repair
    # Guards against two texts under one version. The platform loses version 3,
    # which one silent entry has, and an edit on version 2 creates another
    # version 3. The number was chosen without the versions of all entries.
    Given the platform is backed up
    When operator "moira" edits version 1
    And "a, b, c" learn of it from the platform
    And the platform is rolled back
    And "c" is silent for 10 seconds
    And operator "somchai" edits version 2
    Then the edit is refused with kind "platform_unavailable" and did not run
    And the platform holds version 1

  Scenario: An entry starts while the platform is out
    When operator "moira" edits version 1
    And "a, b" learn of it from the platform
    And the platform goes out
    And entry "d" starts and asks its peers
    Then "d" has version 2 in force

  Scenario: A peer that slept serves an older version
    When operator "moira" edits version 1
    And "a" learn of it from the platform
    And "b" sends its version to "a"
    Then "a" has version 2 in force

  Scenario: Earlier versions are kept
    When 60 edits are made one after the other
    Then the platform's history names 50 edits
    And the text of version 12 is kept
    And the text of version 10 is no longer kept
