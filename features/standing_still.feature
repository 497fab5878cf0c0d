Feature: A process that stands still blames nobody for it

  # Symptom: on a machine that is busy an entry uses one slot of three and refuses
  # the rest, while the upstream answers as quickly as ever. Sequence: the entry gets
  # no processor for some tenths of a second, again and again, with requests under way.
  # Cause: an answer took as long as the entry's clock said, its own standstill with
  # it, and slow start takes slots away from an upstream that gets slow. What showed
  # it, beside 20 busy loops: 104 ms a run by the upstreams' journals, 2.0 to 2.6 times
  # the usual latency at the home, and 3, 2 and 1 usable slots.
  Scenario: An entry that stands still at times uses every slot of its upstream
    Given an entry that is home of an upstream of 3 slots, all warm
    When it stands still for 0.4 s before it reads each of 10 answers
    Then 3 slots are usable

  # Symptom: on a busy machine a slow upstream keeps its work. Cause: the short
  # waits of processes that share processors were taken off its latencies.
  Scenario: An entry that is late by little still sees that an upstream is slow
    Given an entry that is home of an upstream of 3 slots, all warm
    When it is late by 0.03 s at each turn, and 10 answers take 5 times as long
    Then 2 slots are usable

  # Symptom: after a standstill an upstream gets nothing for a tenth of a second and
  # fewer slots then, and a log line says that it cannot be reached. Sequence: the
  # deadline of a request passes between its slot and its first byte. Cause: what the
  # entry did not write, being too late, counted like a refused connection. What
  # showed it: 204 in the log of an entry whose upstream took every connection, and
  # usable slots of 3.0, then 2.1, within one standstill.
  Scenario: A request that is too late to be written is no failure of its upstream
    Given an upstream that takes connections
    When a request whose deadline has passed is to be written to it
    Then no byte was written, and it does not count against the upstream
