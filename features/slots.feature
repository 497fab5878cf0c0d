Feature: An upstream never has more in flight than its slots

  Three entries and two upstreams of three slots each run in one region, all as
  real processes. Callers at every entry keep far more requests in flight than
  there are slots, short and long ones. The upstreams accept five more each, so
  their journals show every excess request. An upstream with `deaf` set ignores
  closed connections: as after a network failure, a request runs until its
  deadline.

  Scenario: Load above the slots
    Given a region with callers above its slots
    When the load lasts 2 s
    Then no upstream and no region had more in flight than its slots
    And every slot of each upstream was in use at some time
    And every refusal says that nothing ran and when to come back

  Scenario: The home of an upstream is killed with work in flight
    # Guards against an upstream that runs more requests than slots just after a
    # VM died: requests of the killed home continue, since the upstream sees no
    # closed connection, while the new home counts their slots as free.
    Given a region with callers above its slots
    When the home of bkk-u0 is killed while bkk-u0 does not notice
    And the VM list says that it is gone
    Then bkk-u0 takes work again within 6 s
    And bkk-u0 took no work in the 3 s after it
    And every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

  Scenario: The home of an upstream is killed and starts again at once
    # Guards against the same while no VM is gone: the home's next process holds
    # every slot back, but an entry that was home before it has nothing to
    # report, and that is taken for a report on the dead process's requests.
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
    # Guards against an upstream that runs one request more than its slots when
    # a VM wakes up: its frozen home's successor uses the reserve, and the home
    # wakes and uses it too, without checking the age of the successor's report.
    Given a region with callers above its slots and long work
    When the home of bkk-u0 is frozen with work in flight for 5.5 s
    Then its successor served short work of bkk-u0 meanwhile
    And every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

  Scenario Outline: Entries that do not hear each other
    # Guards against the same while every process is healthy: messages are lost
    # <way>, and both entries count on the reserve because silence is taken for
    # death or a report is not acknowledged.
    Given a region with callers above its slots and long work
    When the home of bkk-u0 is cut off from the others <way> for 5.5 s
    Then every slot of bkk-u0 is used again within 6 s
    And no upstream and no region had more in flight than its slots

    Examples:
      | way       |
      | both ways |
      | one way   |
