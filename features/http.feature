Feature: Requests pass through entries as they are

  Entry cnx-e0 has no upstream in its region, so it forwards to bkk-e0, which
  has the only one: a request to bkk-e0 goes through one entry and a request to
  cnx-e0 through two. The processes are shared by the scenarios.

  Background:
    Given an upstream in bkk, and an entry each in bkk and cnx

  Scenario Outline: A long body streams, byte for byte, in little memory
    # Symptom: an entry's memory grows with the body until the VM is out of it.
    # Sequence: a fast sender, a slow reader behind the entry.
    # Cause: an entry that reads faster than it writes and keeps the rest.
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
    # Symptom: as above, while the caller reads nothing at all for a while.
    # Sequence: a caller asks for a long statement and pauses.
    # Cause: back-pressure that ends at the caller's connection.
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
    # Symptom: an entry runs out of connections while it looks idle.
    # Sequence: callers send a head and a part of a small body, then nothing.
    # Cause: a deadline that counts only from the end of the body.
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
    # Symptom: the next answer on a connection is taken for a body.
    # Sequence: an answer that has no body by its kind, then another.
    # Cause: a length that one side counts and the other does not.
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
    # Symptom: upstreams run work whose answer nobody reads, until none is free.
    # Sequence: a caller closes its connection while the upstream works.
    # Cause: an entry that does not look at its caller while it waits.
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
    # Symptom: a journal shows requests that no caller sent.
    # Sequence: an entry and an upstream find the end of a body at two places.
    # Cause: two lengths, or a length that one of them cannot read.
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
    # Symptom: a third of the slots of three stand idle under load.
    # Sequence: answers state the upstream's load; more work comes at once.
    # Cause: a load that counts the answered request was compared with the
    # entry's own requests without it, so one seemed to be somebody else's.
    Given quick work has opened every slot of the upstream
    When as many slow look-ups as it has slots come right after an answer
    Then all of them run at once

  Scenario: A refusal that passes says when to come back
    Given every slot of the upstream is taken
    When "GET /matching/orders/1" goes to bkk-e0 with headers "Deadline-Ms: 300" and 0 bytes
    Then the problem has a Retry-After

  Scenario Outline: An answer cut in the middle does not look whole
    # Symptom: a caller takes half a statement for the whole.
    # Sequence: the upstream's connection ends within its answer.
    # Cause: the entry ends its own answer properly.
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
    # Symptom: a caller takes what came before a crash for the whole answer.
    # Sequence: an upstream answers without a length and closes.
    # Cause: the closing of a connection is the same after an end and a crash.
    Given the upstream answers without a length
    When "GET /raw/orders/1" goes to <entry> with headers "" and 0 bytes
    Then the problem is upstream_lost with 3001, status 502, ran "unknown"

    Examples:
      | entry  |
      | bkk-e0 |
      | cnx-e0 |
