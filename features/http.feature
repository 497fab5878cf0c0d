Feature: Requests pass through entries as they are

  Entry cnx-e0 has no upstream in its region and forwards to bkk-e0, which has
  the only one. A request to bkk-e0 goes through one entry, a request to cnx-e0
  through two. The scenarios share the processes.

  Background:
    Given an upstream in bkk, and an entry each in bkk and cnx

  Scenario Outline: A long body streams, byte for byte, in little memory
    # Guards against an entry that reads from a fast sender faster than a slow
    # reader takes it, buffers the rest, and runs its VM out of memory.
    When 64 MiB are sent to <entry> with <framing>
    Then the upstream got them byte for byte
    And a statement of 64 MiB through <entry> arrives byte for byte
    And no entry's resident memory grew by 16 MiB

    Examples:
      | entry  | framing        |
      | bkk-e0 | Content-Length |
      | bkk-e0 | chunks         |
      | cnx-e0 | Content-Length |
      | cnx-e0 | chunks         |

  Scenario Outline: A slow reader does not fill the entry
    # Guards against the same when a caller requests a long statement and then
    # reads nothing for a while, and back-pressure ends at the caller's
    # connection.
    When a caller of <entry> pauses after the head of a 64 MiB statement
    Then no entry's resident memory grew by 16 MiB

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |

  Scenario Outline: A slow upstream does not fill the entry
    When 64 MiB are sent through <entry> to an upstream that reads nothing
    Then no entry's resident memory grew by 16 MiB

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |

  Scenario Outline: A body that stops arriving does not hold its connection
    # Guards against an entry that looks idle but runs out of connections,
    # because callers send a head and part of a small body and the deadline
    # counts only from the end of the body.
    When <size> of 100 bytes of a body are sent to <entry> with 300 ms left
    Then the answer is a 504 and the connection is closed
    And no upstream has seen a request

    Examples:
      | entry  | size |
      | bkk-e0 | 50   |
      | cnx-e0 | 0    |

  Scenario Outline: A caller waits for the go-ahead before its body
    When the head of an upload to <entry> asks for <expectation>
    Then the answer is a 100
    When its body is sent
    Then the answer is a 200
    And the upstream read 5 bytes

    Examples:
      | entry  | expectation  |
      | bkk-e0 | 100-continue |
      | cnx-e0 | 100-continue |
      | bkk-e0 | 100-Continue |

  Scenario Outline: Answers without a body keep the connection in step
    # Guards against a response being read as the body of the one before it,
    # because one side counts the stated length of a response that never has a
    # body and the other does not.
    When "<method> /matching/orders/1?<query>" and a look-up go to <entry> on one connection
    Then the answers are <status> without a body and 200 with one

    Examples:
      | entry  | method | query                          | status |
      | bkk-e0 | HEAD   |                                | 200    |
      | cnx-e0 | HEAD   |                                | 200    |
      | bkk-e0 | HEAD   | answer_chunked=1               | 200    |
      | bkk-e0 | GET    | answer_status=204              | 204    |
      | cnx-e0 | GET    | answer_status=204              | 204    |
      | bkk-e0 | GET    | answer_status=304              | 304    |
      | cnx-e0 | GET    | answer_status=304              | 304    |
      | bkk-e0 | GET    | answer_bytes=0                 | 200    |

  Scenario Outline: A caller that leaves takes its work along
    # Guards against upstreams without a free slot because the entry does not
    # check its caller while it waits, so requests of callers that closed their
    # connections run on.
    When a caller of <entry> leaves while the upstream works for 5000 ms
    Then the upstream's journal says "cancelled" within 2 s
    And every slot of the upstream is free within 2 s

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |

  Scenario Outline: A caller that leaves in its body takes its work along
    When a caller of <entry> leaves in the middle of its body
    Then the upstream's journal says "cancelled" within 2 s
    And every slot of the upstream is free within 2 s

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |

  Scenario Outline: Headers of one hop end there
    When a request to <entry> has hop-by-hop headers and ours
    Then the next hop gets only "X-Kept"
    And the caller gets only "X-Answer-Kept"

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |

  Scenario Outline: Requests whose end is doubtful reach no upstream
    # Guards against requests in a journal that no caller sent: the entry and
    # the upstream find the end of a body at different places, because of two
    # lengths or a length that one of them cannot read.
    When <shape> is sent to <entry>
    Then the answer is a 400 and the connection is closed
    And no upstream has seen a request

    Examples:
      | entry  | shape                    |
      | bkk-e0 | both lengths             |
      | cnx-e0 | both lengths             |
      | bkk-e0 | two lengths              |
      | bkk-e0 | a list of lengths        |
      | bkk-e0 | a signed length          |
      | bkk-e0 | two encodings            |
      | bkk-e0 | another encoding         |
      | bkk-e0 | a bad chunk size         |
      | cnx-e0 | a bad chunk size         |
      | bkk-e0 | a signed chunk size      |
      | bkk-e0 | a chunk without its end  |
      | bkk-e0 | headers of 40 KiB        |
      | cnx-e0 | headers of 40 KiB        |
      | bkk-e0 | a length named per-hop   |
      | cnx-e0 | a length named per-hop   |
      | bkk-e0 | a space before the colon |
      | bkk-e0 | a header without a colon |
      | bkk-e0 | a bad start line         |

  Scenario Outline: Bad input is told apart, and whether it ran
    When "<request>" goes to bkk-e0 with headers "<headers>" and <body> bytes
    Then the problem is <kind> with <code>, status <status>, ran "no"
    And no upstream has seen a request

    Examples:
      | request                  | headers                         | body   | kind                | code | status |
      | GET /nothing/orders/1    |                                 | 0      | unknown_service     | 1003 | 404    |
      | GET /v1/entries?service=x |                                | 0      | unknown_service     | 1003 | 404    |
      | GET /v1/entries?service= |                                 | 0      | bad_request         | 1001 | 400    |
      | GET /v1/entries          |                                 | 0      | bad_request         | 1001 | 400    |
      | GET /matching/nothing    |                                 | 0      | unknown_path        | 1004 | 404    |
      | POST /matching/orders/1  |                                 | 0      | unknown_path        | 1004 | 404    |
      | POST /matching/approvals |                                 | 5      | key_missing         | 1005 | 400    |
      | POST /matching/approvals | Idempotency-Key: k              | 65537  | body_too_large      | 1002 | 413    |
      | GET /matching/orders/1   | Deadline-Ms: soon               | 0      | deadline_unreadable | 1007 | 400    |
      | GET /matching/orders/1   | Deadline-Ms: 0                  | 0      | deadline_unreadable | 1007 | 400    |
      | GET /matching/orders/1   | Deadline-Ms: -5                 | 0      | deadline_unreadable | 1007 | 400    |
      | GET /matching/orders/1   | Deadline-Ms: 1.5                | 0      | deadline_unreadable | 1007 | 400    |

  Scenario: A chunked body over the limit is refused when it gets there
    When 70000 bytes in chunks go to bkk-e0 as an approval
    Then the problem is body_too_large with 1002, status 413, ran "no"
    And no upstream has seen a request

  Scenario: Every slot is used right after an answer
    # Guards against one of three slots staying idle when requests follow a
    # response at once: the upstream's load report still counts the answered
    # request, the entry no longer does, and it takes it for another entry's.
    Given quick work has opened every slot of the upstream
    When as many slow look-ups as it has slots come right after an answer
    Then all of them run at once

  Scenario: A refusal that passes says when to come back
    Given every slot of the upstream is taken
    When "GET /matching/orders/1" goes to bkk-e0 with headers "Deadline-Ms: 300" and 0 bytes
    Then the problem has a Retry-After

  Scenario Outline: An answer cut in the middle does not look whole
    # Guards against a truncated statement taken for a complete one, because the
    # upstream's connection ends within its response and the entry ends its own
    # response normally.
    Given the upstream cuts its next answer after 200000 bytes
    When a statement of 400000 bytes <framing> is read from <entry>
    Then the caller's connection ends without the end of the body

    Examples:
      | entry  | framing        |
      | bkk-e0 | with a length  |
      | bkk-e0 | in chunks      |
      | cnx-e0 | with a length  |
      | cnx-e0 | in chunks      |

  Scenario Outline: An answer without a length is not called whole
    # Guards against a caller that takes the data before a crash for the
    # complete response: without a length, a normal end and a crash both only
    # close the connection.
    Given the upstream answers without a length
    When "GET /raw/orders/1" goes to <entry> with headers "" and 0 bytes
    Then the problem is upstream_lost with 3001, status 502, ran "unknown"

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |
