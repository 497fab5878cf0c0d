Feature: Each caller gets the whole answer to its own request

  # Guards against a response with two signatures. An upstream sends a second
  # response in the same packet as the first, and its headers were added to
  # those of the first.
  Scenario: A second answer right behind the first adds nothing to it
    Given a gateway with 1 upstream
    And the upstream's fault "extra" strikes every 1 requests
    When 6 requests go to "/safe/x"
    Then each answer is the whole one of its own request

  # Guards against a caller that gets the response to another request. An
  # upstream repeats a response late, when its connection carries the next
  # request. Responses were matched by order, not by the request ID they echo.
  Scenario: A second answer that comes late goes to nobody
    Given a gateway with 1 upstream
    And the upstream's fault "late_extra" strikes every 2 requests
    When 12 requests go to "/safe/x"
    Then each answer is the whole one of its own request

  # Guards against a truncated response taken for a complete one. An upstream
  # closes in the middle of a body, and the response was forwarded before its
  # end had arrived.
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

  # Guards against slow or reordered responses to the lookups of one page. A
  # caller sends several before the first response; they were served one by one,
  # or answered as they completed.
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

  # Guards against an upstream that runs a request no caller sent. A request
  # states its length in two ways, and two readers find different ends.
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

  # Guards against a gateway that runs out of file descriptors. Callers stop in
  # the middle of a request head and keep their connections, and no timeout
  # ended the wait.
  Scenario: A head that does not end is waited for no longer than the limit
    Given a gateway with 1 upstream
    When half of a head is sent
    Then the connection is closed within 4.5 s

  # Guards against callers that wait for an answer behind a body nobody reads.
  Scenario: An upload that is refused before its end closes its connection
    Given a gateway without upstreams
    When 0.7 MB of an upload of 1 MB are sent
    Then it is refused, and the refusal says that the connection closes
