Feature: The gateway's decisions keep their bounds

  # Guards against a traffic split that deviates from its weights by several
  # percent. A split route gets some hundred requests, and destinations were
  # drawn at random.
  Scenario: A split route deals its requests out by weight
    When 300 requests are dealt out over parts of 70, 20 and 10
    Then each part is within 1 request of its weight

  Scenario: Finding a route costs the same among many
    Then a match among 10000 routes takes at most 3 times that among 10

  Scenario: The longest prefix wins, and no part of a segment
    Given the routes "/a/", "/a/b/" and "/c/"
    Then the longest one decides for "/a/b/x", "/a/bc" and "/d/x"

  # Guards against many requests that change their region at once when one
  # upstream goes. Keys were assigned by number modulo the number of upstreams.
  Scenario: Losing an upstream moves only its keys
    Given 12 upstreams in 3 regions and 400 keys
    When one upstream goes
    Then every key that had another first upstream keeps it

  Scenario: A region with few upstreams keeps what it can carry
    Given regions with 50, 40 and 10 slots and even callers
    Then the small region keeps between 0.3 and 0.5 of its keys
    And the region with 50 slots keeps all of its keys

  # Guards against retries of all entries that exceed the operators' limit.
  # Every entry used its whole budget at once, since budgets were separate.
  Scenario Outline: Second tries of all entries keep under the bound
    Then <entries> entries with 20 requests each take at most the bound of 56

    Examples:
      | entries |
      | 1       |
      | 8       |
      | 81      |

  Scenario Outline: Requests to a cold upstream from all entries keep under the bound
    Then <entries> entries send at most 12 a second to a cold upstream

    Examples:
      | entries |
      | 2       |
      | 8       |
      | 81      |

  # Guards against a version in force that is replaced by an older one. A peer
  # or a late read serves the old version, and the latest message was applied.
  Scenario: An older configuration is never put in force
    When versions 5, 3 and 8 arrive in this order
    Then versions 5 and 8 were put in force, and 3 was not

  # Guards against requests that queue although an upstream has their object
  # cached. A service is full, and new objects were spread over its upstreams.
  Scenario: In a crowd an object runs at its home or where it is known
    Given a service whose upstreams have 90 of 100 slots in use
    Then a new object is sent to its home only
    And a known object is sent where it is known

  Scenario: An upstream that fails or slows down is chosen less, and again later
    Given two equal upstreams
    When the first one's answers fail 5 times
    Then requests go to the second one
    When 30 s go by
    Then requests go to the first one again

  # Guards against requests refused for lack of capacity while a whole region is
  # idle. All callers use one region, and requests in its queues were counted as
  # slots of the service in use.
  Scenario: One region's queues do not make a service look full
    Given a service with 2 upstreams of 3 slots each
    When one of them holds 12 requests and the other none
    Then half of the service's slots are in use

  # Guards against violations of the operators' limit on region changes at the
  # start and the end of a burst. Only one of the two was checked.
  Scenario: Requests come back to their region step by step, too
    Given an entry that sent 0.4 of its requests to another region for 4 s
    When its own region has room for all of them
    Then from one 2 s window to the next at most 0.15 of them come back

  # Guards against requests refused for seconds after the loss of a zone. They
  # were restricted to their region although its upstreams were gone.
  Scenario: After an upstream has gone requests may move at once
    Given an entry that sent 0 of its requests to another region for 4 s
    When an upstream has gone
    Then no region is barred

  # Guards against uploads that are several times slower through some VMs than
  # through others. The VMs of a region have very different links, and lookups
  # named all of them to all callers, which pick any.
  Scenario: Look-ups name VMs to callers by what the VMs can carry
    Given a region of 2 zones with 2 large VMs and 12 small ones each
    When 2000 callers look up and pick any of the named
    Then each large VM gets 3 to 13 times what a small one gets
    And every list names VMs of both zones
    And a caller that asks again is told the same

  Scenario: Look-ups name every VM where all are alike
    Given a region of 2 zones with 3 large VMs and 0 small ones each
    Then each look-up names 6 VMs

  # Guards against callers that drop their connections whenever a VM comes or
  # goes. The lists of all callers were drawn again.
  Scenario: A VM's end changes the lists of its own callers only
    Given a region of 2 zones with 2 large VMs and 12 small ones each
    When a small VM ends
    Then only lists that named it have changed, by one VM each

  # Guards against requests to an upstream that has left. It reports that it
  # leaves, its registration is removed, and an earlier write arrives late. No
  # record of removed upstreams was kept.
  Scenario: A late word does not bring back an upstream that left
    Given a service with 2 upstreams of 3 slots each
    When one of them drains and is removed, and an older word of it comes
    Then only the other one gets new work

  # Guards against hundreds of log lines on upstreams that come and go, and
  # requests to upstreams long gone. An upstream's address has a new incarnation
  # while the old registration stays as long as the store's leases do not
  # expire. The upstream was dropped, and each listing added it again.
  Scenario: An upstream that was found replaced does not come back
    Given a service with 2 upstreams of 3 slots each
    When one of them is found replaced here, and a listing still has it
    Then only the other one gets new work
    Given a service with 2 upstreams of 3 slots each
    When one of them is found replaced by another entry, and a listing still has it
    Then only the other one gets new work
