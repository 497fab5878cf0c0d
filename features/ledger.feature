Feature: A request that must not repeat runs at most once
  A key is claimed in the platform's key-value service before its request is
  dispatched.

  Background:
    Given entries A, B and C over one service in memory

  Scenario: A repeat of a done request gets its recorded answer
    When entry A claims the key
    Then entry A holds the claim
    When entry A dispatches
    And entry A records the answer 201 "paid"
    And the outcomes reach the service
    And entry B claims the key
    Then entry B gets the answer 201 "paid"

  Scenario: A repeat of a running request is told so
    When entry A claims the key
    And entry B claims the key
    Then entry B is refused with claim_in_flight and ran unknown
    When entry A claims the key
    Then entry A is refused with claim_in_flight and ran unknown

  Scenario: A key with another request behind it
    When entry A claims the key
    And entry B claims the key for another body
    Then entry B is refused with key_reused and ran no

  Scenario: Two keys whose short hashes are equal
    # Guards against a caller that gets the response to another caller's
    # request, because two keys hash to one store key, the requests are
    # identical byte for byte, and only the requests are compared.
    When entry A claims the key
    And the record is moved to the place of the key "other"
    And entry B claims the key "other"
    Then entry B is refused with key_reused and ran no

  Scenario: The same key at three entries at once
    When entries A, B and C claim the key at once
    Then just one of them holds the claim
    And the others are refused with claim_in_flight

  Scenario: An answer too large to keep
    When entry A claims the key
    And entry A dispatches
    And entry A records an answer of 70000 bytes
    And the outcomes reach the service
    And entry B claims the key
    Then entry B is refused with outcome_unknown and ran yes

  Scenario: The claim takes effect and its answer is lost
    # Guards against a key that stays claimed while its request never runs,
    # because the service applies the claim, its response is lost, and that is
    # taken for a failed write.
    Given the service's next write is answer lost
    When entry A claims the key
    Then entry A holds the claim
    And the service was written to 1 times

  Scenario: The claim is lost before it takes effect
    Given the service's next write is call lost
    When entry A claims the key
    Then entry A holds the claim
    And the service was written to 2 times

  Scenario: A claim given up arrives after all
    # Guards against a key that no entry holds but every repeat finds
    # outcome_unknown, although its request never ran: the service goes down
    # before the read back of a delayed claim, the caller is told "not run", and
    # the claim arrives after the release, which found nothing to delete.
    Given the service's next write is late
    And the service goes down after the next write
    When entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    When the service comes back
    And the outcomes reach the service
    And the late write arrives
    And entry B claims the key
    Then entry B holds the claim

  Scenario: A claim given up is still there when its own entry is asked again
    # The claim takes effect, its response is lost, and the service goes down;
    # the same entry gets the repeated request before its release has completed.
    Given the service's next write is answer lost
    And the service goes down after the next write
    When entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    When the service comes back
    And entry A claims the key
    Then entry A holds the claim
    When the outcomes reach the service
    And entry B claims the key
    Then entry B is refused with claim_in_flight and ran unknown

  Scenario: The service is out before the claim
    Given the service is down
    When entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    When the service comes back
    And entry B claims the key
    Then entry B holds the claim

  Scenario: The service is out when the answer is there
    # Guards against a caller that waits for its response until the service is
    # back, and against a repeat that runs again, at the same entry during the
    # outage or at another one after it.
    When entry A claims the key
    And entry A dispatches
    And the service goes down
    And entry A records the answer 201 "paid"
    And entry A claims the key
    Then entry A gets the answer 201 "paid"
    When the service comes back
    And the outcomes reach the service
    And entry B claims the key
    Then entry B gets the answer 201 "paid"

  Scenario: The recording takes effect and its answer is lost
    When entry A claims the key
    And entry A dispatches
    Given the service's next write is answer lost
    When entry A records the answer 201 "paid"
    And the outcomes reach the service
    And entry B claims the key
    Then entry B gets the answer 201 "paid"

  Scenario: A service too slow to grant a lease
    # Guards against a first claim of an hour that waits for its new lease as
    # long as the service takes, because only the write has a timeout.
    Given the service takes 1.0 s
    When entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    And the refusal took less than 0.5 s

  Scenario: A slow service
    # Guards against a caller that waits as long as the service takes: a write
    # takes a second, and the entry abandons the claim after 0.3 s, before it
    # takes effect.
    When entry A claims the key "first"
    Given the service takes 1.0 s
    When entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    And the refusal took less than 0.5 s
    Given the service takes 0.0 s
    When the outcomes reach the service
    And entry B claims the key
    Then entry B holds the claim

  Scenario: A service that hangs
    # Guards against slots in use while nothing runs at the upstreams: the
    # service hangs, each request holds a slot while it waits for its claim, and
    # is refused late because each claim detects the hang by itself.
    When entry A claims the key "first"
    Given the service takes 0.5 s
    When entry A claims 5 keys at once
    And entry A claims the key
    Then entry A is refused with claim_unavailable and ran no
    And the refusal took less than 0.05 s
    Given the service takes 0.0 s
    When 600 ms pass
    And entry A claims the key
    Then entry A holds the claim
    When entry A claims 5 keys at once
    Then all 5 claims are held

  Scenario Outline: The entry dies after the claim
    # The entry claims the key, perhaps dispatches, and dies. Nobody knows
    # whether it dispatched, so no other entry may run the request.
    When entry A claims the key
    And entry A <step>
    And entry A dies
    And entry B claims the key
    Then entry B is refused with outcome_unknown and ran unknown

    Examples:
      | step            |
      | does no more    |
      | dispatches      |

  Scenario: The holder lives but the deadline is past
    When entry A claims the key with 100 ms left
    And entry B claims the key
    Then entry B is refused with claim_in_flight and ran unknown
    When 200 ms pass
    And entry B claims the key
    Then entry B is refused with outcome_unknown and ran unknown

  Scenario: The entry freezes between claim and dispatch
    # Guards against a request that runs long after its caller was told that it
    # timed out, because the deadline is not checked after the claim.
    When entry A claims the key with 100 ms left
    And 200 ms pass
    And entry A dispatches
    Then entry A is refused with deadline_passed and ran no
    When entry A releases
    And the outcomes reach the service
    And entry B claims the key
    Then entry B holds the claim

  Scenario: Released, then claimed again
    When entry A claims the key
    And entry A releases
    And entry A dispatches
    Then entry A is refused with internal and ran no
    When the outcomes reach the service
    And entry B claims the key
    Then entry B holds the claim

  Scenario: A request that is sent on when its first entry gave it up
    # Guards against an approval that did not run but is answered 409, may have
    # run: an entry that loses its upstream to a planned stop before the
    # dispatch refuses it before the release of its key is written, and the next
    # entry, which gets it at once, finds the key claimed.
    When entry A claims the key
    And entry A releases
    And entry B claims the key
    Then entry B holds the claim

  Scenario Outline: A claim is given up while the service does not answer
    # Guards against a refused caller that waits until the service is back.
    When entry A claims the key
    Given the service <trouble>
    When entry A releases
    Then the release took less than 0.5 s

    Examples:
      | trouble     |
      | takes 3.0 s |
      | is down     |

  Scenario: A connection to the upstream is lost without an answer
    When entry A claims the key
    And entry A dispatches
    And entry A loses the answer
    And entry A claims the key
    Then entry A is refused with outcome_unknown and ran unknown
    When the outcomes reach the service
    And entry B claims the key
    Then entry B is refused with outcome_unknown and ran unknown

  Scenario: The lease is gone
    When entry A claims the key "first"
    Given the service's next write is lease gone
    When entry A claims the key
    Then entry A holds the claim
    And the service granted 2 leases

  Scenario: Claims that queue share one write
    Given the service takes 0.05 s
    When entry A claims 100 keys at once
    Then all 100 claims are held
    And the service was written to at most 6 times

  Scenario: One batch refused as a whole
    # Guards against a bad write that fails every claim of its batch.
    Given the service takes 0.02 s
    And the service's writes from the third on are lease gone for 1 call
    When entry A claims 40 keys at once
    Then all 40 claims are held
    And the service was written to 41 times

  Scenario: A batch whose answer is lost
    Given the service takes 0.02 s
    And the service's writes from the third on are answer lost for 1 call
    When entry A claims 40 keys at once
    Then all 40 claims are held

  Scenario: A long outage does not take all memory
    # There are 20 responses of 60 KB during the outage, and capacity for 10.
    Given room for 600000 bytes of outcomes
    When entry A claims 20 keys at once
    And the service goes down
    And entry A answers all 20 claims with 60000 bytes
    And the service comes back
    And the outcomes reach the service
    Then repeats at entry B get 10 answers and 10 times ran yes
