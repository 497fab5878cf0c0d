Feature: Values of other writers

  # Guards against an entry of another writer that stops all changes of the store at every gateway.
  Scenario Outline: A value that cannot be decoded holds up no other key
    Given an entry that follows the store, with two upstreams
    When a batch has a registration of form "<form>" before a configuration and a drain
    Then the configuration is in force and the upstream drains
    And the next batch begins after that revision

    Examples:
      | form                          |
      | address port_of_many_digits   |
      | address port_of_other_digits  |
      | address scope_with_nul        |
      | address long_scope            |
      | field many_digits             |
      | field large_exponent          |
      | field deep_lists              |
      | field deep_objects            |
      | field no_text                 |
      | field lone_surrogate          |
      | unknown many_digits           |
      | unknown deep_lists            |
      | unknown deep_objects          |
      | value binary                  |
      | value cut                     |

  # Guards against one key that raises for any reason and keeps the others of its batch from being applied.
  Scenario Outline: A change that raises is skipped alone
    Given an entry that follows the store, with two upstreams
    When applying <change> raises, in a batch before a configuration and a drain
    Then the configuration is in force and the upstream drains
    And <change> is counted as failed, and logged once in 20 batches
    But not any more once it can be applied

    Examples:
      | change          |
      | an upstream     |
      | an entry        |
      | an evacuation   |
      | a removal       |

  # Guards against a gateway that never becomes ready beside a key that raises.
  Scenario: The first listing is complete beside keys that cannot be applied
    Given an entry that has just started
    When its first listing has registrations of all forms, and a change that raises
    Then it is ready, and knows the valid upstreams
    And a listing without those keys leaves none counted as skipped

  # Guards against a configuration in force that neither the history nor other entries get.
  Scenario Outline: What a configuration has besides is passed on as it is written
    Given an entry that follows the store, with two upstreams
    When a configuration has an unknown field of form "<form>"
    Then it is <state>, and the history and other entries agree

    Examples:
      | form            | state        |
      | many_digits     | in force     |
      | large_exponent  | in force     |
      | no_text         | in force     |
      | null            | in force     |
      | deep_lists      | not in force |
      | deep_objects    | not in force |

  # Guards against a restart beside an invalid configuration that takes a gateway out of service.
  Scenario: A gateway that starts beside an invalid configuration uses that of another
    Given a gateway that follows a store
    When the operator writes a configuration that is not valid
    Then a second gateway that starts is ready and serves within 5 s
    And both apply the next valid configuration within 2 s

  # Guards against keys of callers that are shown to operators.
  Scenario Outline: Keys of callers never reach the history
    Then the text without keys of a configuration with <tenants> has no key

    Examples:
      | tenants                       |
      | two tenants                   |
      | tenants given twice           |
      | keys given twice              |
      | an escaped field name         |

  # Guards against a page of the store that one item makes unreadable.
  Scenario Outline: An item that cannot be decoded spoils no other of its page
    When a page of the store has an item whose <field> is <value>
    Then the other items of the page are read, and that one is counted

    Examples:
      | field    | value              |
      | key      | "a\ud800"          |
      | key      | 7                  |
      | revision | -1                 |
      | revision | 99999999999999999999999 |
      | value    | {}                 |
      | removed  | "no"               |

  # Guards against a listing that ends early, and drops what it has not read.
  Scenario: A listing whose items cannot be read is no listing
    When a listing has a page without a readable item before the last page
    Then the listing fails

  # Guards against values of another writer that make a page longer than a gateway reads, and fill its memory.
  Scenario: Long values of another writer hold up no change
    Given a gateway that follows a store
    When another writer stores 12 values of 1000000 bytes, and a route is added
    Then the gateway serves the added route within 2 s
    And a gateway that starts now is ready and serves it within 5 s
    And neither has used more than 100 MB
    And one line of each tells that a page was too long

  # Guards against decoders that raise, or let a value through that others cannot bear.
  Scenario Outline: Generated values end in a value or in one error
    Then 400 generated values for <decoder> end in a value or in one error

    Examples:
      | decoder                     |
      | registrations of upstreams  |
      | registrations of entries    |
      | configurations              |
      | pages of the store          |
      | leases of the store         |
      | epochs of the store         |
      | pages of other entries      |
      | datagrams of other entries  |
      | relayed requests            |
      | responses of other entries  |
      | heads of upstreams          |
      | deadlines of callers        |
      | settings files              |
      | addresses                   |
      | long strings of a page      |

  # Guards against a datagram that fails the request placed after it is read.
  Scenario: A datagram that cannot be applied is dropped alone
    Given an entry that gets datagrams of others
    When a datagram cannot be decoded, one cannot be applied, and a valid one follows
    Then the valid one is applied, and one line tells of the others

  # Guards against a limit on idle connections that fails the response with it.
  Scenario Outline: An idle limit that is no number is ignored
    Then a response with Keep-Alive "<value>" is read

    Examples:
      | value                  |
      | timeout=5              |
      | timeout=many digits    |
      | timeout=-1             |

  # Guards against queries of the pages that end in an internal error.
  Scenario Outline: Queries that are no numbers are rejected
    Given a gateway that follows a store
    Then the page "<page>" with "<query>" answers <status>

    Examples:
      | page           | query                | status |
      | /configuration | version=0            | 200    |
      | /configuration | version=²            | 400    |
      | /configuration | version=many digits  | 400    |

  # Guards against entries of other writers that stop changes, or keep a new gateway from being ready, over processes.
  Scenario: Gateways follow the store beside entries of other writers
    Given a gateway that follows a store
    When another writer stores entries of all forms, and a route is added
    Then the gateway serves the added route within 2 s
    And a gateway that starts now is ready and serves it within 5 s
    And the metrics count the skipped keys, and each key has one log line
