Feature: A failed request can be explained from its id

  # Guards against a process that stops answering. The reader of its log stops
  # reading, the pipe fills, and writes to the log block.
  Scenario: A log that nobody reads slows nothing
    Given a gateway whose log goes to a pipe that nobody reads
    When 3000 requests go to "/safe/x" in a hurry
    Then each was answered within 2 s
    When the pipe is read again
    Then the log tells how many lines were left out

  Scenario: A request refused for lack of room
    Given a gateway with 1 upstream that works 0.5 s
    When 40 requests to "/unsafe/x" are sent side by side
    Then "why" tells of a 503 "refused, not run: service service had"

  Scenario: A request that failed after it was passed on
    Given a gateway with 1 upstream
    And the upstream's fault "lost" strikes every 1 requests
    When 1 requests with bodies are sent to "/unsafe/x"
    Then "why" tells of a 502 "may have run, no whole answer"

  Scenario: A request that was slow past its aim
    Given a gateway with 1 upstream
    And the upstream is 25 times slower
    When 1 requests go to "/safe/x"
    Then "why" tells of a 200 "was slow"

  # Guards against "why" refusing an ID from the log. The ID has only digits, or
  # digits and one e, and was parsed as a number.
  Scenario Outline: A request id that looks like a number
    Given a log with a refusal of request "<id>"
    Then "why" tells of that request "refused, not run"

    Examples:
      | id               |
      | 6398699704284366 |
      | 0398699704284366 |
      | 639869970428e366 |

  Scenario: The status shows the age of what it shows
    Given 2 gateways with 1 upstream
    When the second gateway is killed
    Then "gateway status" shows the first one's picture and the second's silence

  # Guards against a log that shows a lookup answered in time that its caller
  # never got. Responses leave a connection in the order of its requests, and
  # the log did not show how long a quick one waited behind a slow one.
  Scenario Outline: An answer that waited behind another one of its connection
    Given a gateway with 1 upstream that works 0.6 s
    When a new object's request and a known one's are sent together, and the caller <leaves>
    Then "why" tells of the second one "ms on its connection behind request"
    And "why" tells of the second one "<end>"

    Examples:
      | leaves               | end                                      |
      | waits for both       | answered 200                             |
      | leaves after 0.4 s   | and the caller left before it was sent   |

  # Guards against a refusal attributed to a lack of capacity while upstreams of
  # another region are idle. In a burst, requests change their region step by
  # step, and the log line did not name the regions whose share was used up.
  Scenario: A refusal names the regions that it was held back from
    Given a gateway with 1 upstream in its own region and 1 in another
    When 30 requests a second are sent for 5 s and then 200 a second for 2 s
    Then a refusal's line names the other region as held back, and "why" says so

  # Guards against a service that is late for many requests without a way to
  # tell whether it lacks slots, distributes requests badly, or waits for its
  # upstreams. Logs describe single requests only.
  Scenario Outline: Lost and late requests are told by cause
    Given a log with a request that <ended>
    Then "losses" counts 1 request, "<cause>"

    Examples:
      | ended                                                   | cause                              |
      | was answered 200 after 90 of 100 ms                     | in its aim                         |
      | was answered 500 after 90 of 100 ms                     | failed by its upstream             |
      | was refused with no_slot at a use of 0.4                | refused with slots free            |
      | was refused with no_slot at a use of 0.95               | refused, service full              |
      | was refused with entry_not_ready at a use of 0          | refused, entry starting or leaving |
      | was late by 200 ms with tries of 2                      | late after failed tries            |
      | was late by 200 ms with queue_ms of 80                  | late after a queue                 |
      | was late by 200 ms with warm of false                   | late, ran as new                   |
      | was late by 200 ms with expected_ms of 60               | late, slower than where known      |
      | was late by 20 ms with way_ms of 70                     | late by the way                    |
      | was late by 200 ms with busy of 3                       | late otherwise                     |

  Scenario: Losses of a real gateway
    Given a gateway with 1 upstream
    And the upstream is 25 times slower
    When 2 requests go to "/safe/x"
    Then "losses" counts 2 late requests of its log
