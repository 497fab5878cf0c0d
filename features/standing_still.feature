Feature: A process that stands still blames nobody for it

  # Guards against an entry on a busy host that uses one slot of three and
  # refuses the rest while the upstream is as fast as ever: latencies by the
  # entry's clock include its own repeated stalls of some tenths of a second,
  # and slow start closes slots of an upstream that gets slow. The signs, beside
  # 20 busy loops, are 104 ms per run in the upstreams' journals, 2.0 to 2.6
  # times the usual latency at the home, and 3, 2 and 1 usable slots.
  Scenario: An entry that stands still at times uses every slot of its upstream
    Given an entry that is home of an upstream of 3 slots, all warm
    When it stands still for 0.4 s before it reads each of 10 answers
    Then 3 slots are usable

  # Guards against a slow upstream that keeps its requests on a busy host,
  # because the short waits of processes that share processors are subtracted
  # from its latencies.
  Scenario: An entry that is late by little still sees that an upstream is slow
    Given an entry that is home of an upstream of 3 slots, all warm
    When it is late by 0.03 s at each turn, and 10 answers take 5 times as long
    Then 2 slots are usable

  # Guards against an upstream that is logged as unreachable after a stall and
  # gets nothing for a tenth of a second, then fewer slots: the deadline of a
  # request passes between its slot and its first byte, and the unwritten
  # request counts like a refused connection. The signs are event 204 in the log
  # of an entry whose upstream accepted every connection, and 3.0, then 2.1
  # usable slots within one stall.
  Scenario: A request that is too late to be written is no failure of its upstream
    Given an upstream that takes connections
    When a request whose deadline has passed is to be written to it
    Then no byte was written, and it does not count against the upstream
