Feature: Responses that end early leave those of other requests whole

  # Guards against a response that ends before its first byte is written, and takes the requests before it on the connection along.
  Scenario Outline: A response that ends before its turn loses no other request
    Given a gateway with a scripted upstream
    When a slow request, one for "<path>" and a small one are sent together
    Then they are answered with 200, <status> and 200 in this order
    And the connection serves a further request

    Examples:
      | path                 | status |
      | /safe/large          | 200    |
      | /timed/large/stall   | 504    |
      | /timed/large         | 504    |
      | /timed/unsafe/large  | 504    |

  # Guards against a caller's deadline that ends requests with later ones.
  Scenario: A response that passes its caller's deadline before its turn
    Given a gateway with a scripted upstream
    When a slow request, and one for "/safe/large" with a deadline of 600 ms are sent together
    Then they are answered with 200 and 504 in this order
    And the connection serves a further request

  # Guards against the same with requests that another entry sends to the upstream.
  Scenario Outline: A relayed response that ends before its turn
    Given two gateways, of which one reaches the upstream through the other
    When a slow request, one for "<path>" and a small one are sent together
    Then they are answered with 200, <status> and 200 in this order
    And the connection serves a further request

    Examples:
      | path                | status |
      | /safe/large         | 200    |
      | /timed/large/stall  | 504    |

  # Guards against a response that breaks off unnoticed, since no more of it is read before its turn, and takes the one before it along.
  Scenario Outline: A response that has broken off when its turn comes
    Given a gateway with a scripted upstream
    When a slow request, one for "<path>" and a small one are sent together
    Then the first is whole, the second breaks off, and the connection ends
    And the log says that the response to the third was not delivered

    Examples:
      | path                 |
      | /safe/large/break    |
      | /unsafe/large/break  |
      | /safe/large/endless  |

  # Guards against a close that drops complete responses the caller has not read.
  Scenario Outline: A response that breaks off after its first byte
    Given a gateway with a scripted upstream
    When requests for "/safe/medium", "<path>" and a small one are sent together, and read after 1 s
    Then the first is whole, the second breaks off, and the connection ends
    And the log says that this entry closed it before the third

    Examples:
      | path                 |
      | /safe/large/break    |
      | /timed/large/stall   |
      | /safe/large/endless  |

  # Guards against bytes of an attempt that failed in the response of a later one.
  Scenario: What is left of a withdrawn response is never written
    Given a caller's connection with two requests in flight
    When the second has a streamed response that is given up before its turn
    And it gets another response, and the first is answered
    Then the caller gets the first response and the other one, and no more

  # Guards against a connection that is closed for its held bytes, with the request that the caller waits for.
  Scenario: A response behind an unanswered request does not count as unread
    Given a caller's connection with two requests in flight, whose bytes are counted
    When the second is answered
    Then its bytes are counted, but the caller does not count as stalled
    And it does once it has not read the first response

  # Guards against requests behind a broken response that run on for nobody.
  Scenario: Requests behind a response that breaks off are cancelled at once
    Given a caller's connection with two requests in flight
    When the first has a streamed response that breaks off in its turn
    Then the second is cancelled, and the connection sends nothing more
    And it ends although the caller does not close it
