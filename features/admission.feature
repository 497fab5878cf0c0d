Feature: No upstream has more in flight than its slots
  Each upstream has one home among the entries of its region. Homes move with
  the entry table, while entries die, freeze and lose their network.

  Scenario Outline: Random runs with deaths, freezes, cuts and table changes
    # Guards against more requests on an upstream than slots because two entries
    # count one slot as theirs. Faults come in any order, with lost, duplicated
    # and late reports, different clocks and platform outages.
    When entries run for 60 s from seed <seed>
    Then no upstream had more in flight than its slots
    And nothing was written after its deadline
    And there were deaths, freezes, new tables and work in the reserve

    Examples:
      | seed |
      | 3    |
      | 7    |
      | 15   |
      | 101  |
      | 102  |

  Scenario Outline: The runs notice a missing guard
    # Each guard is removed in turn to show that the runs detect its absence.
    When entries without <guard> run for 60 s from any of seeds 1 to 8
    Then some upstream had more in flight than its slots

    Examples:
      | guard                           |
      | the T1 check                    |
      | T2 over the longest deadline    |
      | the wait for the last holder    |
      | the slots held for a lost entry |

  Scenario: A report that comes before its table
    # Guards against a new home that dispatches while the old one's requests
    # run. The old home's report came before the new home applied the entry
    # table; its state "settled" was kept and its record dropped.
    Given an entry that is home of an upstream and fills its slots
    And a second entry joins that becomes its home
    When the first entry applies the table and reports before the second does
    And the second entry applies the table
    Then the second entry counts the first one's requests as taken

  Scenario: Slots held for a lost entry are not another's to free
    # Guards against a restarted home that dispatches into slots that its lost
    # process had filled. A peer that was home long before reports none of its
    # own requests running, which was taken for the lost process's report.
    Given an entry that is home of an upstream and fills its slots
    And a second entry joins that becomes its home
    And both apply the table and report
    When the second entry dies and its successor of the same name joins
    And both apply the table and report
    Then every slot counts as taken until the longest deadline has passed

  Scenario: A planned hand-over leaves no gap
    Given an entry that is home of an upstream
    And a second entry joins that becomes its home
    When both apply the table and report
    Then the second entry dispatches and the first does not
    And nothing counts as taken

  Scenario: A region of one entry has no successor
    Given an entry that is home of an upstream
    Then it has no successor and the home uses every slot

  Scenario: Batch work leaves the last slots to others
    Given an entry that is home of an upstream of 4 slots, all warm
    When batch work takes all it may
    Then 2 slots are left to interactive work
    And batch work is refused with a time to come back

  Scenario: A cold upstream is filled step by step
    Given an entry that is home of an upstream of 4 slots
    Then 1 slot is usable
    When it answers 40 requests in the usual time
    Then 4 slots are usable
    When its answers take 5 times as long
    Then fewer than 4 slots are usable

  # Guards against an upstream of three slots that gets one request at a time, a
  # third of its capacity, for as long as its responses are slow. Slow start
  # keeps half of the slots, 1.5, and only the whole slots of them were used.
  Scenario: Slow answers take away half of an odd number of slots at most
    Given an entry that is home of an upstream of 3 slots, all warm
    When its answers take 5 times as long
    Then 2 slots are usable

  # Guards against uploads refused with no_slot while long requests run on an
  # upstream that has just started and has two of three slots free. Slow start
  # opens a slot when a response arrives, and long requests give none.
  Scenario: Long work does not keep the other slots of a cold upstream closed
    Given an entry that is home of an upstream of 3 slots
    When a request runs on it for 0.4 s
    Then 1 slot is usable
    When a request runs on it for 0.6 s
    Then 2 slots are usable

  Scenario: An upstream that says it drains gets no new work
    Given an entry that is home of an upstream of 4 slots, all warm
    When the upstream reports that it drains
    And 600 s pass without a word from it
    Then work is refused since no upstream takes it

  Scenario: An upstream that claims to be full is tried all the same
    # Guards against an idle upstream that gets no requests. It keeps reporting
    # every slot busy, and its report outweighed what its responses show.
    Given an entry that is home of an upstream of 4 slots, all warm
    When the upstream reports 4 busy slots though nothing runs
    Then 1 slot is usable

  Scenario: Cancelled work frees its slot only with its connection
    Given an entry that is home of an upstream of 4 slots, all warm
    When a request is cancelled with its connection closed
    Then 4 slots are free
    When a request is cancelled with its connection left open
    Then 3 slots are free
    When its deadline passes
    Then 4 slots are free

  Scenario: A short burst waits, and what cannot be met is refused at once
    Given an entry that is home of an upstream of 4 slots, all warm
    And requests take 50 ms
    When 4 requests run and 40 more come
    Then some wait and the others are refused at once with a time to come back
    When a slot is given back
    Then the first of the highest priority gets it
    When the queue has waited for 300 ms
    Then all that waited are refused
