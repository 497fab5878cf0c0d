Feature: An upstream never has more in flight than its slots

  Three entries and two upstreams of three slots each in one region, all real
  processes. Callers at every entry keep far more requests under way than there
  are slots, long and short. The upstreams would take five more each, so their
  own journals show every request too many. A closed connection ends nothing at
  an upstream that is made deaf: as when a network breaks, it runs on until the
  deadline that it was given.

  Scenario: Load above the slots
    Given a region with callers above its slots
    When the load lasts 2 s
    Then no upstream and no region had more in flight than its slots
    And every slot of each upstream was in use at some time
    And every refusal says that nothing ran and when to come back

  Scenario: The home of an upstream is killed with work in flight
    # Symptom: an upstream runs more than its slots just after a VM has died.
    # Sequence: the home is killed; its work goes on at the upstream, which
    # sees no closed connection; the new home starts from an empty count.
    # Cause: slots of a dead home counted as free.
    Given a region with callers above its slots
    When the home of bkk-u0 is killed while bkk-u0 does not notice
    And the VM list says that it is gone
    Then bkk-u0 takes work again within 6 s
    And bkk-u0 took no work in the 3 s after it
    And every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

  Scenario: The home of an upstream is killed and starts again at once
    # Symptom: as above, though no VM is gone.
    # Sequence: the process dies; the new one of the same name holds every slot
    # back; an entry that held the duty before the dead one reports nothing.
    # Cause: that report taken for word of the dead process's work.
    Given a region with callers above its slots
    When the home of bkk-u0 is killed while bkk-u0 does not notice
    And it starts again
    Then bkk-u0 takes work again within 8 s
    And bkk-u0 took no work in the 3 s after it
    And no upstream and no region had more in flight than its slots

  Scenario: The platform is out while entries die, freeze and start
    Given a region with callers above its slots
    When the service and VM list go out
    And the home of bkk-u0 is frozen with work in flight for 4 s
    And the home of bkk-u1 is killed while bkk-u1 does not notice
    And it starts again
    And the load lasts 2 s
    Then some work was done in the last 2 s
    When the service and VM list come back
    Then bkk-u1 takes work again within 10 s
    And no upstream and no region had more in flight than its slots

  Scenario: Entries stop and start one after the other
    Given a region with callers above its slots
    When two entries stop and start one after the other
    Then every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

  Scenario: The home of an upstream is frozen and wakes up
    # Symptom: an upstream runs one more than its slots when a VM wakes up.
    # Sequence: the home is frozen; its successor uses the reserve; the home
    # wakes up, believes what it believed, and uses the reserve as well.
    # Cause: a home that does not look how old its successor's word is.
    Given a region with callers above its slots and long work
    When the home of bkk-u0 is frozen with work in flight for 5.5 s
    Then its successor served short work of bkk-u0 meanwhile
    And every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

  Scenario Outline: Entries that do not hear each other
    # Symptom: as above, while every process is well.
    # Sequence: messages are lost <way>; both count on the reserve.
    # Cause: silence taken for a death, or a word that is not answered.
    Given a region with callers above its slots and long work
    When the home of bkk-u0 is cut off from the others <way> for 5.5 s
    Then every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

    Examples:
      | way       |
      | both ways |
      | one way   |
