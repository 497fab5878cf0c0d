Feature: The gateway follows the platform's store

  Scenario: An upstream that drains gets nothing new in time
    Given a gateway with 2 upstreams
    When the first upstream drains
    Then 2.0 s later it gets nothing more
    And every request since was answered 200

  Scenario: An evacuated zone gets nothing until it is taken back
    Given a gateway with 2 upstreams in different zones
    When the zone of the first upstream is evacuated
    Then 2.0 s later it gets nothing more
    When the zone is taken back
    Then 6.0 s later it gets requests again

  Scenario: A new configuration is in force in time, and an older one never
    Given a gateway with 1 upstream
    When a configuration adds the route "/new/"
    Then "/new/x" is answered 200 within 2.0 s
    When the configuration before that is written again
    Then "/new/x" is answered 200 for 1.5 s

  # Guards against a gateway that misses changes. The store drops its history
  # between two polls, and the gateway polled changes only.
  Scenario: A store that forgets its history is listed anew
    Given a gateway with 2 upstreams
    When the store drops its history while the first upstream drains
    Then 2.0 s later it gets nothing more

  Scenario Outline: Service goes on while the store is in trouble
    Given a gateway with 2 upstreams
    When the store is "<mode>" for 3 s
    Then every request meanwhile was answered 200
    And the gateway's log tells that the store was lost and is back

    Examples:
      | mode   |
      | busy   |
      | reset  |
      | silent |

  # Guards against callers that find no upstream after an outage of the store.
  # Registrations expire while the store is down, and each removal was taken for
  # the end of an upstream.
  Scenario: Registrations that lapse with the store are kept for a moment
    Given a gateway with 2 upstreams
    When the store is "silent" for 2 s and forgets the upstreams meanwhile
    Then every request meanwhile was answered 200

  # Guards against a gateway started during an outage of the store that serves
  # nobody until the store is back. A process is killed during the outage, and
  # its successor asked only the store.
  Scenario: A gateway that starts during an outage learns from another
    Given 2 gateways with 1 upstream that know each other
    When the store is "reset" and the second gateway is started anew
    Then the second gateway serves "/safe/x" within 3 s

  Scenario: A gateway that starts late in an outage takes others' old word
    Given 2 gateways with 1 upstream that know each other
    When the store is "reset" for 4 s and on, and the second gateway starts anew
    Then the second gateway serves "/safe/x" within 3 s

  # Guards against gateways of a zone that run an old configuration. The one
  # that reads the store for the zone freezes, and the others waited for it.
  Scenario: A configuration reaches a zone whose reader of the store is frozen
    Given 2 gateways with 1 upstream that know each other
    When the zone's reader of the store freezes and a configuration adds "/more/"
    Then the other gateway serves "/more/x" within 2.0 s

  Scenario: A gateway without configuration is not ready and refuses for now
    Given a gateway before the first configuration
    Then it is not ready and answers 503 with a time to come back
    When the first configuration is written
    Then "/safe/x" is answered 200 within 2.0 s

  # Guards against requests refused after a power loss although the store
  # answers. A process listens before its first listing of the store, and a
  # request was refused at once, with no other entry to retry at.
  Scenario: A request that comes just before the first listing is served
    Given 2 gateways with 1 upstream
    When the second gateway starts anew while the store is silent for 0.3 s more
    Then the first request to it, sent at once, is answered 200 within 1.5 s

  Scenario: Look-ups name the live gateways only
    Given 2 gateways with 1 upstream
    Then look-ups name 2 gateways within 3 s
    When the second gateway is killed
    Then look-ups name 1 gateways within 6 s

  # Guards against a live gateway that disappears from lookups, so that callers
  # drop their connections to it. The store is briefly down when a renewal is
  # due, and the next renewal came after the end of the lease.
  Scenario: A gateway whose renewal was lost stays in look-ups
    Given 2 gateways with 1 upstream that know each other
    When the store is "silent" for 1 s of each 4 s, three times, and leases run on
    Then look-ups named 2 gateways all the time

  # Guards against a cold upstream that gets more than its limit. A gateway
  # starts while another one divides the limit among the gateways it knows, and
  # the new one used its share before the others knew of it.
  Scenario: Gateways that do not know each other yet keep to a cold upstream's bound
    Given 2 gateways with 1 upstream that is cold for 3 s
    When requests are sent through both for 2 s
    Then the cold upstream got at most 12 requests in any second

  Scenario: A cold upstream gets no more than its share from all gateways
    Given 2 gateways with 1 upstream that know each other
    And an upstream that is cold for 3 s takes its place
    When requests are sent through both for 2 s
    Then the cold upstream got at most 12 requests in any second
    And it got some
