Feature: An edit that an operator saw accepted is in force everywhere and stays
  Every part is a process of its own: platform, upstreams, entries.

  Background:
    Given an operated deployment of two entries in bkk and one in cnx

  Scenario: Two operators race
    # Symptom: an operator's change is gone, and nobody was told.
    # Sequence: two read the same version and edit through two entries at once.
    # Cause: the later write goes over the earlier one unseen.
    When two operators edit profile local through two entries at once, 3 times
    Then each time one edit was accepted and one told edit_conflict
    And each loser was told that "profiles.local.ramp_fraction_per_s" changed
    And one who edits the version before all that later is told the same
    And the history holds the winners alone, each as a version of its own

  Scenario: The answer to an edit is lost
    # Symptom: an operator is told of a failure, edits again, and applies twice.
    # Sequence: the platform takes the write and the answer never arrives.
    When an operator edits while the platform loses 1 answer
    Then the edit is accepted
    And the history has the edit once
    # Symptom: an edit told to be undone is in force later.
    # Sequence: as before, but nobody can read back what became of the write.
    When an operator edits and the platform goes out after the lost answer
    Then the edit is told as edit_unknown, also when asked by its id
    When the platform answers again
    Then the edit asked by its id through every entry becomes accepted
    And the history has the edit once
    # Symptom: an edit is told to be surely undone while its write is on its
    # way.
    # Sequence: the call is lost. Until another edit takes its base away it
    # could still arrive.
    When an operator edits and the platform goes out after the lost call
    Then the edit is told as edit_unknown, also when asked by its id
    When the platform answers again
    Then the edit asked by its id is edit_unknown
    When another edit is accepted
    Then the edit asked by its id is not_found

  Scenario: One entry is frozen
    # Symptom: an edit was told as accepted, and an entry acts on the old one.
    # Cause: what the platform holds was taken for what is in force.
    When an operator edits while entry "bkk-e1" is frozen
    Then the edit is told as edit_pending, lacking "bkk-e1"
    When the frozen entry goes on
    Then the edit asked by its id through every entry becomes accepted
    And every entry has the edit in force

  Scenario Outline: The platform loses what it held
    # Symptom: an accepted edit is undone by itself; or entries lose their
    # duties to one that starts, and an upstream gets more than its slots.
    # Sequence: the platform comes back without its latest data, and an entry
    # restarts. The epoch of the platform's entry table is below the one in
    # force.
    # Cause: entries followed the platform; the one that registered went over
    # the lost rows.
    When an edit is accepted
    And the platform is <loss>, and entry "bkk-e1" is killed and started
    Then the edit stays in force on every entry for 2 s
    And no entry left the table of the others
    When an operator edits the version in force
    Then the edit is accepted
    And the platform holds it, and the table with all 3 entries
    And every home is held again

    Examples:
      | loss                         |
      | restarted empty              |
      | rolled back to its old state |

  Scenario: An entry starts while the platform is out
    # Symptom: an entry that restarts during an outage serves an old
    # configuration or none.
    When an edit is accepted
    And the platform is out, and entry "bkk-e1" is killed and started
    And an entry "bkk-e2" that the table lacks is started as well
    Then every entry has the edit in force
    And a request through "bkk-e1" is answered
    When the platform answers again
    Then every home is held again

  Scenario: A profile that operators change moves the traffic
    When 60 requests are sent through "bkk-e0"
    Then no request ran in cnx
    When the service is put on profile "round_robin"
    And 120 requests are sent through "bkk-e0"
    Then more than 20 requests ran in cnx
