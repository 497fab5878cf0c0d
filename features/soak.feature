Feature: The soak finds what it is there to find

  Scenario Outline: Each check fails on a planted fault and passes without it
    Then the check "<check>" passes on a calm record
    And the check "<check>" fails on a record with "<fault>"

    Examples:
      | check         | fault                                  |
      | answers       | another request's signature            |
      | answers       | half a body                            |
      | once          | a payment that ran twice               |
      | once          | a run that nobody sent                 |
      | refusals      | a refused payment that ran             |
      | silent        | a run after an upstream left           |
      | cold          | 14 runs in a cold second               |
      | limits        | 14 runs in 4 s at a limit of 1 a second |
      | stops         | a request cut during a stop            |
      | configuration | a 404 for a known route                |
      | ahead         | a request lost for one behind it       |
      | recovery      | half of the requests failing at the end |
      | cuts          | 12 refused requests during a cut       |

  # Guards against checks that cannot fail.
  Scenario Outline: The rules on leaving and resting upstreams find what breaks them
    Given answers of an upstream <says> at 1 s to requests of an entry
    When requests of that entry reach it at <times> s
    Then the rules find <count> breaches

    Examples:
      | says                       | times              | count |
      | that leaves                | 1.5, 2.9           | 0     |
      | that leaves                | 2.9, 3.2, 9        | 2     |
      | that asks for 3 s of rest  | 1.1, 1.3, 1.4      | 0     |
      | that asks for 3 s of rest  | 1.1, 1.6, 3.9      | 0     |
      | that asks for 3 s of rest  | 1.6, 2, 3.9        | 1     |
      | that asks for 3 s of rest  | 1.6, 2, 4.1, 4.2   | 0     |

  Scenario: The same seed makes the same plan
    Then two plans of seed 7 are equal, and seed 8's differs

  Scenario: A pause of the soak's own loop is noted
    # Guards against gateways that look broken because the soak's event loop
    # gets no processor time on a busy host and calls through its proxies time
    # out.
    When the soak's own loop stands still for 0.3 s
    Then a pause of at least 0.25 s was noted

  # Guards against a gateway that cannot bind its address because a connection
  # or another run uses its port.
  Scenario: Processes get ports that no connection and no other worker takes
    Then ports of processes lie below those of outgoing connections
    And no two workers share a port

  Scenario: A short soak of kept seeds keeps every promise
    When the soak plays seed 42 for 14 s
    Then it broke no promise and most requests were served

  Scenario: Upstreams that start again under their id, and another writer
    When the soak plays seed 10 with all kinds for 16 s
    Then it broke no promise and most requests were served

  # Guards against gateways that exceed an upstream's limit beside other faults.
  Scenario: Upstreams that state limits beside other faults
    When the soak plays seed 5 with limits for 20 s
    Then it broke no promise and most requests were served

  # Guards against gateways that refuse what others can serve, beside other faults.
  Scenario: Gateways that lose their links to upstreams beside other faults
    When the soak plays seed 3 with cuts for 20 s
    Then it broke no promise and most requests were served

  # Guards against a soak that takes a change for lost which its own store has forgotten.
  Scenario: A store that is restored twice makes every lost write again
    Then 20 of 20 stores restored twice have the writes since their copy

  # Guards against values of another writer, late responses and overlapping restarts that break a promise beside other faults.
  Scenario: Another writer, responses late behind others, and restarts in series
    When the soak plays seed 8 with values, late responses and series for 20 s
    Then it broke no promise and most requests were served

  # Guards against upstreams that leave or want rest beside other faults.
  Scenario: Upstreams that say they leave or want rest beside other faults
    When the soak plays seed 4 with statements for 20 s
    Then it broke no promise and most requests were served

  # Guards against a restore of the store, or an upstream in trouble, that breaks a promise beside other faults.
  Scenario: A store that is restored and upstreams that send bytes without end
    When the soak plays seed 6 with restores for 20 s
    Then it broke no promise and most requests were served
