Feature: Each caller gets the whole answer to its own request

  # Symptom: a caller's answer carries two signatures. Sequence: an upstream
  # sends a second answer in the same packet as the first. Cause: headers of the
  # second one were added to the first one's.
  Scenario: A second answer right behind the first adds nothing to it
    Given a gateway with 1 upstream
    And the upstream's fault "extra" strikes every 1 requests
    When 6 requests go to "/safe/x"
    Then each answer is the whole one of its own request

  # Symptom: a caller gets the answer to somebody else's request. Sequence: an
  # upstream sends an answer once more, late, when the connection already
  # carries the next request. Cause: answers were taken in order, without
  # looking at the id that they echo.
  Scenario: A second answer that comes late goes to nobody
    Given a gateway with 1 upstream
    And the upstream's fault "late_extra" strikes every 2 requests
    When 12 requests go to "/safe/x"
    Then each answer is the whole one of its own request

  # Symptom: a caller takes half an answer for the whole. Sequence: an upstream
  # breaks off in the middle of a body. Cause: the answer was passed on before
  # its end was seen.
  Scenario Outline: An answer that is cut is asked for again where it may be
    Given a gateway with 2 upstreams
    And the upstream's fault "<fault>" strikes every 1 requests
    When 6 requests go to "/safe/x"
    Then each answer is the whole one of its own request

    Examples:
      | fault |
      | cut   |
      | lost  |

  Scenario: An answer without a length is whole when its connection ends in order
    Given a gateway with 1 upstream
    And the upstream's fault "unframed" strikes every 1 requests
    When 3 requests go to "/safe/x"
    Then each answer is the whole one of its own request

  # Symptom: look-ups of one page are slow one after the other, or their answers
  # change places. Sequence: a caller sends several before the first answer.
  # Cause: they were served one by one, or answered as they became ready.
  Scenario: Requests sent together are answered in order and run side by side
    Given a gateway with 1 upstream that works 0.3 s
    When 3 requests to "/safe/x" are sent together on one connection
    Then the answers come in the order of the requests within 0.8 s

  Scenario: A body of any framing reaches the upstream unchanged
    Given a gateway with 1 upstream
    When a body of 300000 bytes is sent with a length
    And a body of 300000 bytes is sent in chunks
    And a body of 1500000 bytes is sent with a length
    And a body of 1500000 bytes is sent in chunks
    Then each body arrived as it was sent

  # Symptom: an upstream runs a request that no caller sent. Sequence: a request
  # states its length in two ways. Cause: two readers find different ends.
  Scenario Outline: A request that can be read in two ways is refused and closed
    Given a gateway with 1 upstream
    When the bytes of a request with "<header>" are sent
    Then the answer is 400 and the connection is closed
    And no upstream ran it

    Examples:
      | header                                          |
      | Content-Length: 5\r\nTransfer-Encoding: chunked |
      | Content-Length: 5\r\nContent-Length: 6          |
      | Transfer-Encoding: gzip                         |

  # Symptom: a gateway runs out of descriptors. Sequence: callers stop in the
  # middle of a head and keep their connections. Cause: nothing ended the wait.
  Scenario: A head that does not end is waited for no longer than the limit
    Given a gateway with 1 upstream
    When half of a head is sent
    Then the connection is closed within 4.5 s
