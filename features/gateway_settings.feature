Feature: A settings file that changes while a gateway runs
  The platform may rewrite the file with or without a signal.

  # Guards against a gateway that runs with outdated limits, zones or store
  # address until its next start. The file changes without a signal, or with one
  # that was only recorded. The file was read only at the start.
  Scenario: A bound that changes without a signal is kept to
    Given a gateway with 1 upstream
    When its settings say that look-ups are kept 1.5 s
    Then look-ups are good for 1.5 s within 3 s

  Scenario: A zone that the settings name later belongs to its region
    Given a gateway with an upstream of a zone that its settings do not name
    When a route is kept to that zone's region
    Then "/near/x" is answered 503
    When its settings name that zone and it gets SIGHUP
    Then "/near/x" is answered 200 within 1.0 s

  Scenario: The store's address changes
    Given a gateway with 1 upstream
    When a second store with a newer configuration takes the first one's place
    Then "/later/x" is answered 200 within 4.0 s

  # Guards against a gateway that ends, or loses its limits, on a bad edit. The
  # file is truncated while it is written, or a limit is missing.
  Scenario: A settings file that cannot be read changes nothing
    Given a gateway with 1 upstream
    When its settings file is cut short and it gets SIGHUP
    Then its log names the settings file and a remedy
    And "/safe/x" is answered 200 for 1.0 s

  Scenario: SIGHUP cuts off no request, and what needs a restart is named
    Given a gateway with 1 upstream that works 1 s
    When a request is under way, its settings name another address and it gets SIGHUP
    Then the request is answered 200
    And its log says that "listen" needs a restart
    And "/safe/y" is answered 200 within 3.0 s

  # Guards against a gateway that ends again right after a restart. The platform
  # signals a change of the settings file, or a stop, while its modules are
  # being imported and no signal handler was installed yet.
  Scenario Outline: A signal comes while the gateway is being started
    When <signal> comes as the gateway's modules are imported
    Then the process <ends>

    Examples:
      | signal  | ends                                     |
      | SIGHUP  | goes on and says what its settings lack  |
      | SIGTERM | ends with 0                              |
