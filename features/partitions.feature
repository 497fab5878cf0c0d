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
