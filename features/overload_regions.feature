Feature: A region keeps slots for requests that may run nowhere else

  # Guards against confined requests that wait in a full region beside free slots elsewhere.
  Scenario Outline: Objects leave a short region, and return
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to <short> and the others to 0.5 for <span> s
    Then between <least> and <most> of the objects leave "r2"
    When the slots of "r2" are used to 0.5 and the others to 0.5 for 10 s
    Then no object leaves "r2"

    Examples:
      | short | span | least | most |
      | 0.95  | 1    | 0.1   | 0.3  |
      | 0.95  | 3    | 0.5   | 0.7  |
      | 1.0   | 10   | 1.0   | 1.0  |
      | 0.8   | 10   | 0.0   | 0.0  |

  # Guards against regions that hand each other what none of them can run.
  Scenario: No object leaves a short region while the others are short as well
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 0.95 and the others to 0.85 for 10 s
    Then no object leaves "r2"

  # Guards against objects that move each time the use of a region changes a little.
  Scenario: What has left stays away while the region is neither short nor ample
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 0.95 and the others to 0.5 for 2 s
    And the slots of "r2" are used to 0.7 and the others to 0.5 for 20 s
    Then between 0.3 and 0.5 of the objects leave "r2"

  # Guards against a step for the whole time in which nothing was observed.
  Scenario: A pause without requests counts as one second
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 0.95 and the others to 0.5 for 1 s
    And nothing is observed for 60 s
    And the slots of "r2" are used to 0.95 and the others to 0.5 for 0.1 s
    Then between 0.3 and 0.5 of the objects leave "r2"

  # Guards against entries that move different objects.
  Scenario: All entries move the same objects, and more of them later
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 0.95 and the others to 0.5 for 2 s
    Then another entry that saw the same moves the same objects
    And what leaves "r2" still leaves it after 1 s more

  # Guards against requests without any region.
  Scenario: A service in one region only keeps its objects
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 1.0 and it has no others for 10 s
    Then no object leaves "r2"

  # Guards against parts that stay in force after a change of configuration.
  Scenario: A configuration without confined organisations ends it
    Given organisations that are confined to region "r2"
    When the slots of "r2" are used to 0.95 and the others to 0.5 for 10 s
    And no organisation is confined any more
    Then no object leaves "r2"

  # Guards against a region that is full of requests that could run elsewhere.
  Scenario: Confined requests are served while others use a region's slots
    When "confined-region" is replayed with seeds 1 to 3, with and without the part
    Then with it the confined requests are late or refused at most a quarter as often
    And the others have at least 0.97 of their credit

  # Guards against a part that changes what it is not called for.
  Scenario: Without confined requests the part changes nothing
    When "uneven-regions" is replayed with seed 1, with and without the part
    Then both plays are the same
