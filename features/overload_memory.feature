Feature: An entry bounds the sum of the bytes that it holds

  # Guards against a budget that leaves the process or the VM no memory.
  Scenario Outline: The budget is what a VM has left
    Then a VM of <vm> MiB has a budget of <budget> MiB

    Examples:
      | vm  | budget |
      | 0   | 16     |
      | 130 | 16     |
      | 152 | 31     |
      | 552 | 351    |

  # Guards against a step that begins late, or changes with every chunk.
  Scenario Outline: Each step begins at its share of the budget and ends lower
    Given an entry with a budget of 100 MiB
    When it holds <begins> MiB
    Then its step is <step>
    When it holds <held> MiB
    Then its step is <step>
    When it holds <ends> MiB
    Then its step is <before>

    Examples:
      | step          | begins | held | ends | before        |
      | open          | 49.9   | 49.9 | 0    | open          |
      | back_pressure | 50     | 40   | 39.9 | open          |
      | refusal       | 70     | 60   | 59.9 | back_pressure |
      | closing       | 85     | 75   | 74.9 | refusal       |

  # Guards against operators who are not told of a step, or told twice.
  Scenario: Each beginning and end of a step is told once
    Given an entry with a budget of 100 MiB
    When it holds 90 MiB
    And it holds 80 MiB
    And it holds 0 MiB
    Then it told "+back_pressure +refusal +closing -closing -refusal -back_pressure"

  # Guards against an entry that acts on bytes although the part is off.
  Scenario: Without the part, bytes are counted and no step begins
    Given an entry with a budget of 100 MiB
    And the configuration does not call for the part
    When it holds 99 MiB
    Then its step is open
    And no body is refused
    And no connection is closed after 60 s
    When the configuration calls for the part
    Then its step is closing
    When the configuration does not call for the part
    Then its step is open

  # Guards against small requests that are refused for the large ones.
  Scenario Outline: Only large bodies and those of unknown length are refused
    Given an entry with a budget of 100 MiB
    When it holds <held> MiB
    Then a body of <length> bytes is <fate>

    Examples:
      | held | length  | fate     |
      | 69   | 1000000 | admitted |
      | 70   | 0       | admitted |
      | 70   | 65536   | admitted |
      | 70   | 65537   | refused  |
      | 70   | unknown | refused  |
      | 90   | 65536   | admitted |

  # Guards against closing callers that are slow, hold little or wait for others.
  Scenario Outline: The connection of the most idle caller is closed first
    Given an entry with a budget of 100 MiB
    And connections that hold bytes:
      | name   | KiB | idle s | caller   |
      | busy   | 900 | 0.9    | stalled  |
      | small  | 16  | 50     | stalled  |
      | middle | 40  | 40     | stalled  |
      | waits  | 900 | 30     | waiting  |
      | older  | 65  | 20     | stalled  |
      | newer  | 900 | 10     | stalled  |
    When it holds <held> MiB in all
    Then the connections are closed in the order "<order>"

    Examples:
      | held | order                      |
      | 84   |                            |
      | 85   | older, newer, waits, middle |

  # Guards against a last step that many connections below the limit keep up for ever.
  Scenario: Many callers that stalled with little are closed until it is over
    Given an entry with a budget of 16 MiB
    And 400 callers that stalled 2 s ago with 40 KiB each
    When connections are closed while there is one to close
    Then its step is refusal
    And it holds between 11 and 12 MiB

  # Guards against bytes that are counted for ever after a request has ended.
  Scenario: Counts end with their connection and exchange
    Given an entry with a budget of 100 MiB
    When a connection and its exchange hold bytes of each kind and are closed
    Then it holds no bytes of any kind

  # Guards against a response that is counted for ever after its caller has disconnected.
  Scenario: A request that runs on after its caller has left holds nothing
    Given an entry with a budget of 100 MiB
    When a request ends after its caller disconnected in the middle of its body
    Then it holds no bytes of any kind

  # Guards against a log line that calls a response unread that was read.
  Scenario: Closing a connection is not recorded for responses that were read
    Given an entry with a budget of 100 MiB
    When a connection is closed whose first response was read and second was not
    Then its first request is not recorded as closed

  # Guards against a refusal that ends the requests before it on the connection.
  Scenario: A request before a refused one is answered, however long it takes
    Given an entry with a budget of 100 MiB
    When a request is refused behind another one that takes long
    Then both are answered before the connection is closed

  # Guards against a second copy of a body that is held, but not counted.
  Scenario: A large buffered body is sent without being copied
    Given an entry with a budget of 100 MiB
    When it holds 50 MiB
    And a body that has arrived in parts of 30000, 40000 and 5 bytes is sent
    Then 70005 bytes were written to the upstream, at most 16384 at once

  # Guards against deployments without the part that read, write or stream otherwise.
  Scenario Outline: Without the part, connections do the same as before
    When a caller and an upstream exchange bodies of many sizes, <how>
    Then each read, write, pause and digest is <same> as before the part existed

    Examples:
      | how                                | same     |
      | with the part off                  | the same |
      | without being called for           | the same |
      | with a step in force               | not so   |

  # Guards against slow callers that fill the memory of a VM, and others that pay for it.
  Scenario Outline: 400 slow readers and 400 slow senders stay within the budget
    Given a gateway with the modes "memory=on" and a budget of <budget> MiB
    When 400 callers read nothing of 1 MiB and 400 send 500 KB and pause
    Then 99 of 100 requests without a body during this load were served
    And the gateway held at most <budget> MiB
    And the steps <steps> have been logged, with the bytes of each kind

    Examples:
      | budget | steps                           |
      | 32     | back_pressure                   |
      | 4      | back_pressure, refusal, closing |

  # Guards against small requests that are refused, or large ones that run, without memory.
  Scenario Outline: Large requests are refused before they are read
    Given a gateway with the modes "memory=on" and a budget of 4 MiB
    When 50 callers send 60000 of 65000 bytes and pause
    And <failure> happens
    Then the gateway's step is refusal
    And a POST of 100000 bytes is refused as entry_memory_full and has not run
    And a POST of 1000 bytes is served
    And look-ups, health checks and pages are served
    And operators see the step and why the request was refused
    When these callers disconnect
    Then the gateway holds nothing and no step is in force

    Examples:
      | failure                 |
      | nothing                 |
      | a failure of the store  |

  # Guards against an entry that stays full of requests that never arrive.
  Scenario: Connections of idle callers are closed until the step ends
    Given a gateway with the modes "memory=on" and a budget of 4 MiB
    When 65 callers send 60000 of 65000 bytes and pause
    Then connections are closed until the gateway's step is refusal
    And most of the callers keep their connections
    And operators see why the connections were closed

  # Guards against callers that read and send, and are closed or held back for others.
  Scenario Outline: Callers that go on are served while others are closed
    Given a gateway with the modes "memory=on" and a budget of 4 MiB
    And a route with a longer time, with responses of 1 MiB
    When <what>
    Then its response is complete, with <least> bytes or more

    Examples:
      | what                                                                | least   |
      | a caller sends half of 600 KB, connections are closed, and it goes on | 1       |
      | connections are closed and a caller asks for a large response       | 1048576 |

  # Guards against state that outlives the process that held the bytes.
  Scenario: A gateway that is killed starts again without held bytes
    Given a gateway with the modes "memory=on" and a budget of 4 MiB
    When 65 callers send 60000 of 65000 bytes and pause
    And the gateway is killed and starts again with the same settings
    Then the gateway holds nothing and no step is in force
    And a POST of 100000 bytes is served

  # Guards against a part that acts although it is off or not called for.
  Scenario Outline: Without the part nothing is refused or closed
    Given a gateway with the modes "<modes>" and a budget of 1 MiB
    When 65 callers send 60000 of 65000 bytes and pause
    Then a POST of 100000 bytes is served
    And no connection was closed within 2 s
    And operators see <shown>

    Examples:
      | modes             | shown                   |
      | memory=off        | no held bytes           |
      |                   | no held bytes           |
      | memory=called_for | held bytes and no step  |

  # Guards against a budget that is not what the operator meant.
  Scenario Outline: A wrong budget stops the start
    Given a gateway that starts with a budget of "<budget>"
    Then it ends with settings_invalid, naming ALMONDSTAIR_HELD_BYTES_MB

    Examples:
      | budget |
      | 0      |
      | 32MB   |
      | -1     |
      | 1.5    |
