Feature: The emulator plays a deployment and compares two of them

  Scenario Outline: A wrong deployment file is told by file, place and remedy
    When the example deployment is read with <change>
    Then the error names the file and "<words>"

    Examples:
      | change                        | words                             |
      | an unknown key                | unknown field `sloots`            |
      | a gateway in an unknown zone  | gateways: no zone nowhere         |
      | a route to an unknown service | no service nothing                |
      | a prefix without its slash    | begin and end it with a slash     |
      | a text in place of a number   | Expected `float`, got `str`       |
      | no upstream                   | it needs a gateway and an upstream |

  Scenario: The examples are read whole
    Then every example deployment is read, with routes to each of its services

  Scenario: The same seed makes the same load
    Then two loads of seed 3 are equal, and seed 4's differs
    And a load of 200 s has within a tenth of the requests that its rates say

  Scenario Outline: Callers try again as the platform says
    Then after <status> a caller of a <kind> route with 0.9 s left waits <pause>

    Examples:
      | status            | kind   | pause                     |
      | 200               | safe   | never                     |
      | 404               | safe   | never                     |
      | 503 back in 0.2 s | unsafe | 0.2 s                     |
      | 503 back in 2 s   | safe   | 0.3 s                     |
      | 502               | safe   | 0 s                       |
      | 502               | unsafe | never                     |
      | none              | safe   | 0 s                       |
      | none              | upload | never                     |

  # Guards against an experiment that shows a far upstream as equal to a near
  # one. Bytes of a connection wait for their delay; chunks were delayed one
  # after the other, or overtook each other.
  Scenario: A distance delays each way and keeps the order
    Given an echo behind a proxy at a distance of 40 ms
    When 50 pieces are sent through it at once
    Then they come back in order, whole, after 80 to 200 ms

  Scenario Outline: Each zone is shown its own way to an upstream and a gateway
    Given a store with a view for zone "b1", and "<key>" with its address as "<field>" and a way of its own from there
    Then the view shows the way from "b1", and the store what was written

    Examples:
      | key                    | field   |
      | servers/i-1            | address |
      | almondstair/entries/g1 | peers   |

  Scenario: Gateways speak to each other over their distance
    # Guards against an experiment that shows loads of far regions as fresh as
    # near ones. Gateways of two regions query each other, and each was given
    # the direct address of the other, which bypasses the emulated distance.
    Given a small deployment whose regions are 10 ms apart
    When its gateways have taken callers for 3 s
    Then each gateway was reached by the other's way, and by none from its own zone

  Scenario: Both sides come first equally often
    Then the sides of 4 rounds are "a b b a a b b a"

  Scenario: Figures of a side are those of its own requests
    Given outcomes of two sides
    Then the table shows for each side its served, timely and refused parts

  Scenario: Two settings are compared on one seed
    When two settings are compared on a small deployment for 3 s
    Then each side was sent the same requests and served most of them
    And the page has both tables and three plots
