Feature: Entries learn which entries reach no upstream

  Scenario Outline: All entries learn of it by their load reports
    Given <entries> entries in <zones> zones that report loads in virtual time
    When a third of them lose their upstreams at once
    Then within 1 s every entry knows which
    And within 1 s after their end every entry knows that there are none
    And lookups omit them for 3 s more, and not longer

    Examples:
      | entries | zones |
      | 9       | 6     |
      | 195     | 9     |

  # Guards against neighbours that are flooded with requests of cut entries.
  Scenario: Relayed requests are spread over the entries of the region
    Given 195 entries in 9 zones, of which a third reach no upstream
    When each of these relays 40 requests at a time
    Then no entry has more than 1.5 times its part of them
    And none goes to another region while the own one has entries

  Scenario Outline: Which entry a request goes through
    Given entries a1, a2 in region a and b1 in region b, seen from a1
    Then a request <condition> goes through "<entry>"

    Examples:
      | condition                                  | entry |
      | of no kind                                 | a2    |
      | that only region b may get                 | b1    |
      | that only region c may get                 | none  |
      | that a2 refused                            | b1    |
      | while a2 reaches no upstream               | b1    |
      | while a2 and b1 reach no upstream          | none  |
      | just after a2 did not answer another one   | b1    |
      | 3 s after a2 did not answer another one    | a2    |
      | while a2 is of a version that takes none   | b1    |

  # Guards against warm upstreams that get almost nothing after a partition.
  Scenario Outline: Which upstreams count as cold when they are reached again
    Given an upstream that keeps its id and was not reached for 10 s
    When its registration <registration> meanwhile
    Then it counts as <state> when it is reached

    Examples:
      | registration    | state |
      | was renewed     | warm  |
      | was not renewed | cold  |

  # Guards against a partition that is declared beside links that work.
  Scenario Outline: What a check of the links finds
    Given a check of the links because of upstream 1
    When <event>
    Then the links are <state>

    Examples:
      | event                                      | state       |
      | a response of upstream 2 arrives           | working     |
      | a response of upstream 1 arrives           | checking    |
      | a probe is answered                        | working     |
      | no probe is answered                       | partitioned |
      | no probe is answered, then one is          | working     |
      | it lasts for 0.2 s                         | not usable  |

  # Guards against links that are never used again after a check that failed.
  Scenario: A check of the links that ends in an error
    Given an entry whose probes end in an error
    When a connection to one of 4 upstreams fails
    Then requests use the links, and the failure counts as the upstream's
