Feature: A request that crashes upstreams is stopped by every entry
  Real processes; the upstream ends itself when it gets the request.

  Background:
    Given three regions with an entry and three upstreams each

  # Symptom: upstreams die one after another. Events: the request runs, its
  # upstream dies, the caller sends it again at once through the next entry.
  # Cause: an entry that does not know, or not yet, what the others have seen.
  Scenario: A crashing request is resent through all entries
    When a GET that crashes upstreams is sent 20 times through all entries
    Then 1 to 2 upstreams have ended
    And the last 3 answers are "quarantined" with a time to come back
    And within 5 s another GET is answered through every entry
    When a keyed POST that crashes upstreams is sent 20 times through all entries
    Then 1 to 2 upstreams have ended
    And the last 3 answers are "quarantined" with a time to come back
    And within 5 s another keyed POST is answered through every entry

  # Symptom: look-ups are refused for minutes after a rack was lost. Events:
  # upstreams end at the same moment, each with the same look-up on it. Cause:
  # a look-up blamed for an end that has another cause.
  Scenario: Upstreams that end together do not put a look-up under suspicion
    When an upstream of each region is killed while it runs the same look-up
    Then within 5 s that look-up is answered through every entry
    And 60 of that look-up, 6 at a time, are answered but for 3 at most
