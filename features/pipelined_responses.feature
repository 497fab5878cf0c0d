Feature: Responses of one connection do not hold each other up

  # Guards against large responses that wait for each other until the timeout.
  Scenario Outline: Large responses that are asked for together arrive whole
    Given a gateway with 2 upstreams whose responses have 540000 bytes
    When <count> requests for them are sent together, and read <pace>
    Then each response arrives whole within 3 s

    Examples:
      | count | pace                |
      | 2     | at once             |
      | 6     | at once             |
      | 3     | 20000 bytes a read  |

  # Guards against a response that is written although the buffer is full.
  Scenario: A response that gets its turn waits for a caller that does not read
    Given a connection with streamed responses 1 and 2
    When the caller stops reading, and response 1 ends
    Then response 2 waits for the buffer
    And it goes on once the caller reads

  # Guards against a turn that is missed since another writer waits too.
  Scenario: A caller that reads again wakes the response whose turn it is
    Given a connection with streamed responses 1 and 2
    When the caller stops reading, and reads again
    Then response 1 goes on
    But response 2 waits for the turn

  # Guards against a response without a caller that is kept in memory.
  Scenario: A caller that leaves frees the response that waits for its turn
    Given a connection with streamed responses 1 and 2
    When the caller leaves, and both responses go on
    Then neither waits, and nothing of them is kept

  # Guards against a request body that grows while its buffer is full.
  Scenario: A response that ends does not resume a body that nobody reads
    Given a connection whose request body fills the buffer behind another request
    When the response to the other request ends
    Then the connection does not read
    But it reads once the body is read

  # Guards against more requests in flight than a connection may have.
  Scenario: A body that is read does not resume a full pipeline
    Given a connection with as many requests in flight as it may have, the last with a body
    When the body of the last is read
    Then the connection does not read
    But it reads once a response has ended

  # Guards against a connection that reads nothing any more.
  Scenario: A response that ends without its body having been read
    Given a connection whose request body fills the buffer and has ended
    When the response to it ends
    Then the connection reads
