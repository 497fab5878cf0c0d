Feature: What answers show goes before what pages and listings say

  # Guards against a healthy upstream that stays idle. Its health page fails
  # while its responses are good, and the page was believed.
  Scenario: A health page that says ill takes no work away
    Given a gateway with 2 upstreams
    And the first upstream's health page says that it is ill
    When 40 requests about objects of their own are sent
    Then each of them was answered 200
    And the first upstream ran at least 10 of them

  # Guards against half of all requests failing while another upstream is idle.
  # An upstream fails its requests with a good health page, and the page was
  # believed.
  Scenario: An upstream that fails what it runs gets little of it
    Given a gateway with 2 upstreams
    And the first upstream's fault "fail" strikes every 1 requests
    When 60 requests about objects of their own are sent
    Then the first upstream ran at most 20 of them
    When the first upstream is well again and 4 s pass
    And 60 requests about objects of their own are sent, 12 at a time
    Then the first upstream ran at least 5 of them

  # Guards against requests that fail in waves. An upstream goes down and up
  # repeatedly. It got its full share whenever it was back, or was tried again
  # at once while down.
  Scenario: An upstream that goes down and up by turns costs few requests
    Given a gateway with 2 upstreams
    When 25 requests a second are sent for 7 s while the first upstream goes down and up 3 times
    Then at least 0.97 of them were answered 200
    And second tries stayed within the operators' bound

  # Guards against an approval lost after a quiet minute. An upstream drops idle
  # connections earlier than it states and resets the next request; one that
  # must not repeat was sent on a connection idle for most of the stated time.
  Scenario Outline: An upstream forgets idle connections
    Given a gateway with 2 upstreams that state an idle time of 1 s and forget after 0.4 s
    When a <kind> request comes after <idle> s without any
    Then it was answered 200 within 0.5 s, and ran once

    Examples:
      | kind   | idle |
      | safe   | 0.5  |
      | unsafe | 0.5  |
      | safe   | 1.5  |
      | unsafe | 1.5  |

  # Guards against a failed request while both upstreams are healthy. Both have
  # dropped their idle connections without notice. The request is lost on one,
  # and its retry was sent on an idle connection of the other.
  Scenario: Both upstreams have forgotten the connections kept to them
    Given a gateway with 2 upstreams that state an idle time of 1 s and forget after 0.4 s
    And a safe request has just run at each of them
    When a safe request comes after 0.5 s without any
    Then it was answered 200 within 0.5 s, and ran once

  # Guards against single requests a third of a second late for ten seconds
  # after a VM ended without notice. Its registration stays and connections get
  # no answer; after each backoff a caller's request tested whether it was back.
  Scenario: An upstream that takes no connections costs callers no more time
    Given a gateway with 1 upstream
    And an upstream is registered at an address that takes no connections
    When 12 requests a second are sent for 6 s
    Then those sent 0.5 s after the first slow one took less than 0.25 s

  # Guards against a recovered upstream that stays idle for seconds. A request
  # finds it unreachable while a lost response of it is being probed. Every
  # failure, of any request, extended its backoff.
  Scenario: What could not be reached gets work as soon as a look reaches it
    Given an upstream that refuses its first 3 connections
    When a request and a lost answer find it gone at the same time
    Then it gets nothing until a look has reached it, and the connection is kept

  # Guards against a recovered upstream that stays idle for good. A request that
  # started to connect earlier fails just as a probe reaches the upstream, and
  # no further probe started because the finished one counted as running.
  Scenario: A look that has just ended does not keep the next one away
    Given an upstream that refuses its first 0 connections
    When a request finds it gone in the moment in which a look has reached it
    Then a look reaches it again

  # Guards against time-outs of connections that a stall of this process caused.
  Scenario: A stall of the event loop makes no upstream unreachable
    Given an upstream that accepts connections after 0.05 s
    When the event loop stalls for 0.45 s while a connection is opened
    Then the upstream is reachable, and has the connection

  Scenario: An upstream that accepts no connection is unreachable after a stall
    Given an upstream that accepts connections after 60 s
    When the event loop stalls for 0.45 s while a connection is opened
    Then the upstream is unreachable
