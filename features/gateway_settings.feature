Feature: A settings file that changes while a gateway runs
  The platform may rewrite the file with a signal or without one.

  # Symptom: a gateway runs by bounds, zones or a store's address that are no
  # longer true, until its next start. Sequence: the file changes; no signal
  # comes, or one that is only noted. Cause: the file was read at the start only.
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

  # Symptom: a gateway ends, or forgets its bounds, at a bad edit. Sequence: the
  # file is cut short while it is written, or a bound is missing.
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

  # Symptom: a gateway that was just restarted ends again. Sequence: the platform
  # says that the settings file changed, or stops it, while its modules are still
  # being imported. Cause: nothing had taken the signal yet.
  Scenario Outline: A signal comes while the gateway is being started
    When <signal> comes as the gateway's modules are imported
    Then the process <ends>

    Examples:
      | signal  | ends                                     |
      | SIGHUP  | goes on and says what its settings lack  |
      | SIGTERM | ends with 0                              |
