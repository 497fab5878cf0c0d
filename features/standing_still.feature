Feature: A process that stands still blames nobody for it

  # Symptom: on a machine that is busy an entry uses one slot of three and refuses
  # the rest, while the upstream answers as quickly as ever. Sequence: the entry gets
  # no processor for some tenths of a second, again and again, with requests under way.
  Scenario: An entry that stands still at times uses every slot of its upstream
    Given an entry and an upstream of 3 slots, with more requests than that
    When the entry stands still for 0.4 s in each of six half seconds
    Then 3 slots of the upstream are in use at once within 0.5 s
