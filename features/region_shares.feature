Feature: A region's requests change their region step by step over all entries
  28 entries of a region get 15 requests a second each, in virtual time, and hear
  the sums of all of them each 0.15 s, 0.3 s late, as entries tell each other.

  # Guards against an entry that takes chance in its few requests for a move.
  Scenario: Chance in the requests of an entry is no move
    Given 28 entries that hear the sums of their region
    When for 20 s a third of their requests is for each of three regions
    Then from second 6 on at most 0.01 of them are held back or sent to another region

  Scenario: Without the sums each entry goes by its own requests
    Given 28 entries that hear nothing
    When for 20 s a third of their requests is for each of three regions
    Then from second 6 on at least 0.05 of them are held back or sent to another region

  # Guards against a burst that moves to another region within one window.
  Scenario Outline: A move of all entries keeps within the operators' bound
    Given 28 entries that hear the sums of their region
    When the part of their requests for another region goes from <before> to <after> at once
    Then from one 2 s window to the next at most 0.15 of all requests change their region
    And within 12 s <after> of them run there, to within 0.2

    Examples:
      | before | after |
      | 0.1    | 0.6   |
      | 0.3    | 0.8   |
      | 0.7    | 0.2   |
