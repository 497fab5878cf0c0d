Feature: An entry serves what another entry relays to it

  Background:
    Given a gateway with organisations that takes relayed requests

  Scenario: A relayed request runs as its caller's
    When a request is relayed for "blue" with 700 ms of 3000 ms gone
    Then the answer is an upstream's 200
    And its upstream was told of "blue", and of 2300 ms at most
    And the upstream saw nothing of the relay
    And the log names the entry that relayed it

  # Guards against a relayed request that is sent where it was lost before.
  Scenario: Upstreams that may have run a request are not tried again
    When a request is relayed that all upstreams may have run
    Then it is refused with 503 "no_slot", and the relaying entry is told that it has not run

  # Guards against requests that run past the time that their caller gives them.
  Scenario: The time that has passed counts
    When a request is relayed for "blue" with 3000 ms of 3000 ms gone
    Then it is answered within 0.15 s, and did not run

  # Guards against marks of a relay that nobody but entries may set.
  Scenario: A caller forges a relayed request at the callers' address
    When a caller sends the marks of a relayed request for "blue" without a key
    Then it is refused with 401

  Scenario Outline: Marks that cannot be read
    When a request is relayed with <marks>
    Then it is refused with 400 "bad_request", and the log says so

    Examples:
      | marks                              |
      | no marks                           |
      | attempts of "-1"                   |
      | attempts of "1_0"                  |
      | a fingerprint of "g"               |
      | a fingerprint of 40 digits         |
      | an age of "1e400"                  |
      | two entries                        |
      | 1000 upstreams that it was sent to |

  Scenario: An organisation that is not known
    When a request is relayed for "nobody" with 0 ms of 3000 ms gone
    Then it is refused with 503 "relay_refused", and the relaying entry is told that it has not run

  # Guards against an open relay for whatever reaches the port.
  Scenario: Something that is no entry connects
    When "127.0.0.99" connects to the address for relayed requests
    Then the connection is closed without an answer, and the log says so

  # Guards against runs for callers that have left the entry that relays.
  Scenario: The relaying entry leaves before the answer
    When a request of 2 s is relayed, and the connection ends after 0.3 s
    Then within half a second its upstream has dropped it
