Feature: The entries of a zone share a link without passing its cap

  Scenario: One busy entry of two reaches nine tenths of the cap
    Given a link of 10000000 bytes/s shared by 2 entries
    When one entry is busy for 10 s and the other idle
    Then the busy entry moved at least 90% of the cap
    And no window of one second is over the cap

  Scenario: An entry that becomes busy gets its share back
    Given a link of 10000000 bytes/s shared by 2 entries
    When one entry is busy for 10 s and the other idle
    And the other becomes busy as well for 5 s
    Then each of the two moved at least 45% of the cap in the last 3 s
    And no window of one second is over the cap

  Scenario: Two busy entries of three divide what the third leaves idle
    Given a link of 10000000 bytes/s shared by 3 entries
    When two entries are busy for 10 s and the third idle
    Then each of the two moved at least 40% of the cap in the last 3 s
    And no window of one second is over the cap

  # Guards against a link over its cap for some seconds, because two entries
  # count on the same part of it after a message about a loan or an epoch is
  # lost, duplicated, late or meant for an earlier process, or an entry freezes,
  # dies, restarts or is added.
  Scenario Outline: No window is over the cap under <faults>
    Given a link of 10000000 bytes/s shared by <entries> entries
    When <runs> random runs of <length_s> s suffer <faults>
    Then no window of one second is over the cap in any run

    Examples:
      | entries | runs | length_s | faults                           |
      | 2       | 10   | 30       | loss, delay and reorder          |
      | 2       | 15   | 30       | freezes                          |
      | 3       | 40   | 30       | restarts, deaths and new entries |
      | 4       | 25   | 30       | everything at once               |
      | 12      | 2    | 30       | everything at once               |

  # Guards against a link over its cap in the second after a lender that lent
  # nearly all of its share dies and restarts at once, because the new process
  # does not know of the loan and uses its share.
  Scenario: A lender that restarts waits until its loans have ended
    Given a link of 10000000 bytes/s shared by 2 entries
    When one entry is busy for 5 s and the other idle
    And the other is restarted and busy at once for 5 s
    Then no window of one second is over the cap
    And each of the two moved at least 45% of the cap in the last 3 s

  # Guards against a borrower that sends at the borrowed rate after its loan has
  # ended and the lender is busy, because a loop full of chunks delays its
  # timers and the end of the loan is not checked before each chunk.
  Scenario: A borrower whose timers are late stops by itself
    Given a link of 10000000 bytes/s shared by 2 entries
    When one entry is busy for 5 s and the other idle
    And the busy entry gets no timer while the other becomes busy
    Then no window of one second is over the cap

  # Guards against a borrower that freezes past the end of its loan, wakes when
  # the lender is busy, and sends at the borrowed rate because it does not read
  # its clock again before the next chunk.
  Scenario: A borrower that wakes late no longer uses the loan
    Given a link of 10000000 bytes/s shared by 2 entries
    When one entry is busy for 5 s and the other idle
    And the busy entry freezes for 2 s while the other becomes busy
    Then no window of one second is over the cap

  # Guards against a borrower that uses a loan that its lender counts as ended:
  # it restarts and requests again under the same number, and the late loan for
  # the first request is matched by number alone.
  Scenario: A loan meant for an earlier process is refused
    Given a lender and a borrower of a link of 10000000 bytes/s
    When the borrower asks and the lender lends
    And the borrower restarts and asks again
    And the first loan arrives
    Then the borrower holds 0 bytes/s

  # Guards against a lender and a borrower that use the same bytes for part of a
  # second: a loan is renewed by a smaller one, which is lost, and the lender
  # counts the newest loan while the borrower holds the older one.
  Scenario: A lender counts the larger loan until its term ends
    Given a lender and a borrower of a link of 10000000 bytes/s
    When the borrower asks and the lender lends
    And the first loan arrives
    And the borrower asks for 1000000 bytes/s and the lender lends
    Then the second loan is smaller than the first
    And the lender counts as much as the borrower holds

  # Guards against the same when the smaller renewal overtakes the larger loan
  # before it, and the borrower applies the loan that arrives last, not the
  # newest.
  Scenario: A loan that a newer one overtook is refused
    Given a lender and a borrower of a link of 10000000 bytes/s
    When the borrower asks and the lender lends
    And the borrower asks for 1000000 bytes/s and the lender lends
    And the second loan arrives
    And the first loan arrives
    Then the borrower holds the second loan

  # Guards against a link over its cap for up to one loan term after four
  # entries are added: a lender that lent half the cap acknowledges a table of
  # six entries, in which its share is smaller than the loan, and the new
  # entries grow while the borrower, restarted with an outdated table, uses the
  # loan.
  Scenario: An epoch is acknowledged only when what is lent fits the new share
    Given a lender and a borrower of a link of 10000000 bytes/s
    When the borrower asks and the lender lends
    And the lender adopts epoch 2 with 6 entries
    Then the lender acknowledges epoch 1
    And the lender acknowledges epoch 2 after 1.1 s

  Scenario: A request that comes twice is lent for once
    Given a lender and a borrower of a link of 10000000 bytes/s
    When the borrower asks and the lender lends
    And the same request comes again 0.5 s later
    Then the lender counts as ended after 0.6 s what it lent
