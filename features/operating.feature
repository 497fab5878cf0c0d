Feature: An edit that an operator saw accepted is in force everywhere and stays
  Each component is a separate process: platform, upstreams, entries.

  Background:
    Given an operated deployment of two entries in bkk and one in cnx

  Scenario: Two operators race
    # Guards against an operator's change that is lost without notice, because
    # two operators edit the same version through two entries at once and the
    # later write overwrites the earlier one.
    When two operators edit profile local through two entries at once, 3 times
    Then each time one edit was accepted and one told edit_conflict
    And each loser was told that "profiles.local.ramp_fraction_per_s" changed
    And one who edits the version before all that later is told the same
    And the history holds the winners alone, each as a version of its own

  Scenario: The answer to an edit is lost
    # Guards against an edit that is applied twice, because the platform applies
    # the write, its response never arrives, and the operator is told of a
    # failure and edits again.
    When an operator edits while the platform loses 1 answer
    Then the edit is accepted
    And the history has the edit once
    # Guards against an edit reported as undone that is in force later, because
    # the platform applies the write but no entry can read back the outcome.
    When an operator edits and the platform goes out after the lost answer
    Then the edit is told as edit_unknown, also when asked by its id
    When the platform answers again
    Then the edit asked by its id through every entry becomes accepted
    And the history has the edit once
    # Guards against an edit reported as certainly undone while its write, which
    # seems lost, could still arrive until another edit replaces its base.
    When an operator edits and the platform goes out after the lost call
    Then the edit is told as edit_unknown, also when asked by its id
    When the platform answers again
    Then the edit asked by its id is edit_unknown
    When another edit is accepted
    Then the edit asked by its id is not_found

  Scenario: One entry is frozen
    # Guards against an edit reported as accepted while an entry uses the old
    # configuration, because what the platform holds is taken for what is in
    # force.
    When an operator edits while entry "bkk-e1" is frozen
    Then the edit is told as edit_pending, lacking "bkk-e1"
    When the frozen entry goes on
    Then the edit asked by its id through every entry becomes accepted
    And every entry has the edit in force

  Scenario Outline: The platform loses what it held
    # Guards against an accepted edit that is undone without an operator, and
    # against entries that lose home roles to a restarted one, so that an
    # upstream gets more requests than slots: the platform comes back without
    # its latest data, its entry table has a lower epoch than the one in force,
    # and entries follow it while the restarted one overwrites the lost rows.
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
    # Guards against an entry that restarts during an outage and serves an old
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
