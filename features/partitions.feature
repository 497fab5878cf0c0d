Feature: Entries that reach no upstream serve through others

  # Guards against entries that refuse what other entries can serve.
  Scenario Outline: Entries lose their links to all upstreams
    Given connections from <whom> to all upstreams <fault>
    When callers send to all entries alike
    Then from a second on, the cut entries serve as well as the others did
    And the other entries serve all the while
    And nothing that must not repeat runs twice or after a refusal

    Examples:
      | whom                    | fault                            |
      | one entry               | hang                             |
      | all entries of a zone   | are reset                        |
      | all entries of a zone   | are refused while open ones live |
      | all entries of a zone   | are accepted and never answered  |
      | one entry               | pass one way                     |
      | all entries of a region | hang                             |
      | all entries of a region | are reset                        |

  # Guards against an entry whose own partition others take for lost upstreams.
  Scenario: What a cut entry sees is not taken for the state of upstreams
    Given connections from all entries of a zone to all upstreams are reset
    When callers send to all entries alike
    Then no entry refuses a request as one that may end upstreams
    And no upstream counts as cold or failing after the cut

  # Guards against callers that look-ups go on to send to entries without upstreams.
  Scenario: Look-ups omit cut entries while their region has others
    Given connections from all entries of a zone to all upstreams hang
    When callers send to all entries alike
    Then look-ups of all entries omit the cut ones from 2 s on until the end
    And operators see at each entry which ones are cut, how and since when
    And "why" tells the way of a relayed request from the logs of both entries

  # Guards against look-ups that name nobody, or another region against homes.
  Scenario: Look-ups name the entries of a region that is cut as a whole
    Given connections from all entries of a region to all upstreams hang
    When callers send to all entries alike
    Then look-ups always name entries of the caller's region

  # Guards against requests that wait for their deadline although none can serve.
  Scenario: Nobody reaches an upstream
    Given connections from all entries to all upstreams hang
    When callers send to all entries alike
    Then from 1.5 s on until the end each is refused at once, and none of them ran
    And 2 s after the end all are served again

  # Guards against entries that come and go with links that fail every second.
  Scenario: Links fail and return every second
    Given the links of one entry to all upstreams hang for 1 s at a time
    When callers send to all entries alike
    Then its first tries are served at least two thirds as often as the others'
    And look-ups of all entries omit the cut ones from 2 s on until the end

  # Guards against an entry that serves badly while it reaches some upstreams.
  Scenario: An entry loses its links to the upstreams of its own region
    Given the links of one entry to the upstreams of its region hang
    When callers send to all entries alike
    Then from a second on, the cut entries serve as well as the others did
    And the other entries serve all the while
