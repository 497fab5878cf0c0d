Feature: Load patterns are replayed in virtual time by the real decisions

  Scenario Outline: A wrong pattern is told by file, place and remedy
    When a pattern is read with <change>
    Then the error names the file and "<words>"

    Examples:
      | change                      | words                      |
      | an unknown key              | unknown field `sloots`     |
      | a kind of no service        | no service 'nothing'       |
      | upstreams in no region      | no region 'nowhere'        |
      | a trouble that is not known | Invalid enum value 'flood' |
      | a text in place of a number | Expected `float`           |

  Scenario: Every pattern is read and says what it shows
    Then each pattern of emulator/patterns is read, a dozen at least

  Scenario: A seed gives the same play again, and every request ends
    When "burst" is replayed twice with seed 3 and once with seed 4
    Then the first two plays are equal, and the third is another
    And each kind of request was asked for within a tenth of its rate
    And as many requests ended as were asked for

  Scenario Outline: What is played is limited as the pattern says
    When "<pattern>" is replayed with seeds 1 to 3
    Then <limit>

    Examples:
      | pattern      | limit                                                 |
      | steady       | the credit is at least 0.95                           |
      | burst-at-2-4 | no more was answered than the slots can run           |
      | start        | at least as many runs were new as objects ran         |

  # Guards against limits of upstreams that are exceeded, or left unused.
  Scenario Outline: Limits of upstreams are kept and used
    When "<pattern>" is replayed with seeds 1 to 3
    Then no upstream got more than 1.5 times its limit of <limit> a second and 5 in any 4 s
    And each of them got at least 0.8 of it

    Examples:
      | pattern       | limit |
      | limit-at-one  | 2.7   |
      | limits-at-all | 8     |

  Scenario: One upstream with a limit costs callers nothing
    When "limit-at-one" is replayed with seeds 1 to 3
    Then the credit is at least 0.95

  # Guards against entries without upstreams that refuse or misplace requests.
  Scenario: Entries that reach no upstream cost callers little
    When "entries-cut-off" is replayed with seeds 1 to 3
    Then the credit is at least 0.95

  # Guards against rests that are passed, and others that are overrun meanwhile.
  Scenario: A third of the upstreams rests, and the others carry its load
    When "rests-at-a-third" is replayed with seeds 1 to 3
    Then no entry sends more than two requests into a rest that it was asked for
    And the credit is at least 0.95

  # Guards against callers that all return at the moment when rests end.
  Scenario: All upstreams rest, and callers return in order
    When "rests-at-all" is replayed with seeds 1 to 3
    Then no entry sends more than two requests into a rest that it was asked for
    And from 2.5 s after the end the credit of each window is at least 0.95

  # Guards against requests to upstreams that end as they had said.
  Scenario: Upstreams leave as they say
    When "upstreams-leave" is replayed with seeds 1 to 3
    Then no entry sent to an upstream after an answer of it said that it leaves
    And the credit is at least 0.95

  # Guards against objects that run as new at several upstreams without need.
  Scenario: An object stays where it is cached while slots are free
    When "long-requests" is replayed with seeds 1 to 2
    Then an object ran at 1.15 upstreams at most
    And the credit is at least 0.98

  Scenario: A mechanism is only off while it is asked for
    When the mechanism "crowding" is switched off for a while
    Then its constant has another value meanwhile and its own one afterwards
    And each mechanism names constants that there are

  Scenario Outline: A change that cannot be made is told
    When a replay is asked for with <change>
    Then it ends with exit code 2 and says "<words>"

    Examples:
      | change                              | words                       |
      | --without=nothing                   | no mechanism nothing        |
      | --constants=choosing.NOTHING=1      | choosing.NOTHING=1          |
      | --constants=choosing.CROWDED_USE=x  | choosing.CROWDED_USE=x      |

  # Each example replays the load that a mechanism handles, and fails without
  # it.
  Scenario Outline: A mechanism is worth something under the load that it answers
    When "<pattern>" is replayed with seeds 1 to 8, with and without "<mechanism>"
    Then the <figure> is higher with it by at least <least>

    Examples:
      | pattern                 | mechanism        | figure     | least |
      | short-and-long-at-1-5   | entry-waits      | worst kind | 0.05  |
      | shift-beside-free-slots | moves-of-keys    | credit     | 0.02  |
      | burst-at-2-4            | admission-by-aim | credit     | 0.05  |

  # Guards against objects that run uncached at one upstream after another.
  Scenario: Told places spare a large fleet runs as new while every object is new
    When "large-start" is replayed with seeds 1 to 1, with and without "places-told"
    Then the credit is higher with it by at least 0.02
    And the places a key are fewer with it by at least 0.2
