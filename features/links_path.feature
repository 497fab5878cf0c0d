Feature: The entries of a zone keep a link under its cap together

  Two entries run in zone bkk-1 and one in cnx-1, all as real processes. Each
  link has a cap of 4 MB/s in each direction. The upstreams count body bytes by
  zone of the caller in bins of 0.1 s; every ten adjacent bins form a window.

  Scenario Outline: A busy entry uses the share of its idle peer
    # Guards against a half-empty link while requests wait for it, because one
    # of two entries has all the callers and idle shares are not lent.
    Given two entries of bkk-1 with links of 4 MB/s
    And only bkk has an upstream
    When callers of bkk-e0 keep <way> under way for 3 s
    Then the <way> reached 90% of the cap by one entry
    And no window of a link was above its cap

    Examples:
      | way       |
      | uploads   |
      | downloads |

  Scenario Outline: Traffic shifts to another region while <what>
    # Guards against a link over its cap for a second or two, because a share is
    # used by both its borrower and its lender when the upstream of bkk leaves,
    # both entries send to cnx at once, where one had lent to the other, and
    # <what>.
    Given two entries of bkk-1 with links of 4 MB/s
    And callers of bkk-e0 and bkk-e1 keep both ways busy
    When the upstream of bkk is marked as leaving
    And <what> for 1.5 s
    And the traffic has gone to cnx for 1.5 s
    Then no window of a link was above its cap
    And bytes still move to cnx

    Examples:
      | what               |
      | nothing else fails |
      | bkk-e1 is killed   |
      | bkk-e0 is frozen   |
      | bkk-e1 is frozen   |

  Scenario Outline: A loan's other side fails
    # Guards against the same when bkk-e0 borrows all that bkk-e1 does not use,
    # <who> freezes, and bkk-e1 gets callers of its own: the borrower continues,
    # or the lender reclaims its share too early.
    Given two entries of bkk-1 with links of 4 MB/s
    And callers of bkk-e0 keep uploads under way for 1 s
    When <who> is frozen for 1.5 s as bkk-e1 gets callers of its own
    Then no window of a link was above its cap

    Examples:
      | who    |
      | bkk-e0 |
      | bkk-e1 |

  Scenario: What a link cannot carry in time is refused at once
    # Guards against slow uploads that fail only at their deadline: callers
    # offer five times what the link carries by then, and the entry considers
    # its queue but not the bytes still to come.
    Given two entries of bkk-1 with links of 4 MB/s
    When 30 uploads of 4 MB with a deadline of 6 s come to bkk-e0 at once
    Then some are done, the rest is refused within 1 s
    And every refusal by a full link says when to come back
    And no window of a link was above its cap
