Feature: What an entry does can be seen from outside

  Scenario: Each log event is on its page and is logged somewhere
    # Guards against an event number that an operator does not find on the page,
    # because an event was added or its last use removed in the code alone.
    Then the table of LOG-EVENTS.md has just the events of the code
    And no two events have one number
    And each event is logged somewhere

  Scenario: Each metric is on its page and is sent somewhere
    Then the table of METRICS.md has just the metrics of the code
    And each metric is counted somewhere

  Scenario: Each metric of the gateway is on its page
    Then the table of the gateway's metrics has just those of the code

  Scenario: Two entries log, count and trace what they do
    # Guards against a request through two entries whose trace does not show
    # which hop was slow, because a hop started its own trace.
    Given a statsd listener
    And an upstream in bkk, an entry each in bkk and cnx that send it metrics
    When a caller sends an order with its own traceparent through cnx-e0
    Then one trace joins the caller, entry, forward, admit, upstream
    And the upstream's journal has the span of the last hop
    When the platform goes out and comes back
    Then the log of bkk-e0 has, in order: started, platform_down, platform_back
    And each line of the logs is JSON with the number and text of its event
    And the listener hears of each metric but retries
    And it hears no name that is not on the page
