Feature: Bytes without end cost little and reach nobody

  # Guards against one upstream that takes the memory and the processor of an entry.
  Scenario Outline: One of four upstreams sends bytes without end
    Given a gateway with 4 upstreams, and callers in closed loops
    When one upstream answers with "<form>" without end for 2 s
    Then the gateway's memory stays below 128 MB
    And its processor time is at most twice that of before
    And requests that may run again are answered 200 within 1 s
    And requests that must not run again end within 1 s

    Examples:
      | form              |
      | garbage           |
      | blank_lines       |
      | status_line       |
      | header_lines      |
      | header_name       |
      | header_value      |
      | header_blanks     |
      | informational     |
      | foreign_responses |
      | foreign_body      |
      | chunk_extension   |
      | chunk_extensions  |
      | chunk_size        |
      | tiny_chunks       |
      | trailer_lines     |
      | trailer_value     |
      | after_the_end     |

  # Guards against callers that take the memory and the processor of an entry.
  Scenario Outline: Callers send bytes without end
    Given a gateway with 4 upstreams, and callers in closed loops
    When 8 callers send "<form>" without end for 2 s
    Then each of them is cut off within 3 s
    And the gateway's memory stays below 128 MB
    And its processor time is at most twice that of before
    And requests that may run again are answered 200 within 1 s

    Examples:
      | form            |
      | blank lines     |
      | target          |
      | header lines    |
      | header name     |
      | header value    |
      | header blanks   |
      | chunk extension |
      | chunk size      |
      | tiny chunks     |
      | trailer lines   |
      | trailer value   |
      | after the end   |

  # Guards against a store that takes the memory and the processor of an entry.
  Scenario: The store sends bytes without end
    Given a gateway with 4 upstreams, and callers in closed loops
    When the store answers with bytes without end for 2 s
    Then the gateway's memory stays below 128 MB
    And its processor time is at most twice that of before
    And requests that may run again are answered 200 within 1 s

  # Guards against entries that hold whatever another entry or the store sends.
  Scenario Outline: A call of the store or of an entry is cut off
    Given a server that sends "<form>" without end
    When a call is made to it
    Then the call fails within 0.5 s, and 16 MB were sent at most

    Examples:
      | form            |
      | header_value    |
      | header_blanks   |
      | informational   |
      | chunk_extension |
      | chunk_size      |
      | tiny_chunks     |
      | trailer_value   |
      | body            |

  # Guards against pages that hold the body of a request.
  Scenario: A look-up with a large body is cut off
    Given a gateway with 4 upstreams, and callers in closed loops
    When 8 callers send look-ups with bodies of 90 MB for 2 s
    Then the gateway's memory stays below 128 MB
    And requests that may run again are answered 200 within 1 s

  # Guards against a bound that counts what is part of a body, or counts it twice.
  Scenario Outline: What is part of a body does not count
    Given a bound of 1000 bytes
    When <received> bytes come, of which <body> are part of a body
    Then the bound is <state>

    Examples:
      | received | body  | state    |
      | 1000     | 0     | kept     |
      | 1001     | 0     | exceeded |
      | 100000   | 99000 | kept     |
      | 3000     | 1000  | kept     |
      | 3001     | 1000  | exceeded |

  # Guards against responses and requests that a bound cuts although they are valid.
  Scenario: What is valid is not cut
    Given a connection to an upstream
    When a head of 60000 bytes and 300000 bytes in chunks of 8 bytes come
    Then the response is complete
    And a request body in chunks of 8 bytes reaches its handler whole
