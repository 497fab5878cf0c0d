Feature: A request that crashes upstreams is stopped by every entry
  Runs real processes; the upstream ends its own process on this request.

  Background:
    Given three regions with an entry and three upstreams each

  # Guards against upstreams that die one after another. The request runs, its
  # upstream dies, and the caller sends it again at once through an entry that
  # does not know, or not yet, what the other entries have observed.
  Scenario: A crashing request is resent through all entries
    When a GET that crashes upstreams is sent 20 times through all entries
    Then 1 to 2 upstreams have ended
    And the last 3 answers are "quarantined" with a time to come back
    And within 5 s another GET is answered through every entry
    When a keyed POST that crashes upstreams is sent 20 times through all entries
    Then 1 to 2 upstreams have ended
    And the last 3 answers are "quarantined" with a time to come back
    And within 5 s another keyed POST is answered through every entry

  # Guards against lookups refused for minutes after the loss of a rack.
  # Upstreams end at the same time while each runs the same lookup, and the
  # lookup was blamed for a crash that has another cause.
  Scenario: Upstreams that end together do not put a look-up under suspicion
    When an upstream of each region is killed while it runs the same look-up
    Then within 5 s that look-up is answered through every entry
    And 60 of that look-up, 6 at a time, are answered but for 3 at most
