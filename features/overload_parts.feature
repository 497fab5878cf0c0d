Feature: Parts of the scheduling under overload are active where they are called for

  # Guards against deployments that get new decisions that they did not ask for.
  Scenario Outline: The configuration and the settings say which parts are active
    Given parts with the modes "<modes>"
    When the configuration has routes of the priorities <priorities>
    Then the active parts are "<active>"

    Examples:
      | modes                                  | priorities | active                  |
      |                                        | 1, 2       | speed                   |
      |                                        | 0, 1, 2    | speed                   |
      | waiting=called_for                     | 0, 1, 2    | waiting, speed          |
      | waiting=called_for, regions=called_for | 0, 1, 2    | waiting, regions, speed |
      | waiting=called_for, regions=called_for | 1, 2       | speed                   |
      | waiting=on, speed=off                  | 1, 2       | waiting                 |
      | waiting=off,speed=off                  | 0          |                         |

  # Guards against parts that status pages of the default priority switch on.
  Scenario: Routes without key affinity call for nothing
    Given parts with the modes "waiting=called_for"
    When the configuration has a route of priority 0 without key affinity
    Then the active parts are "speed"

  Scenario: A newer configuration ends what an older one called for
    Given parts with the modes "waiting=called_for"
    When the configuration has routes of the priorities 0, 1
    And the configuration has routes of the priorities 1, 2
    Then the active parts are "speed"

  Scenario Outline: A wrong mode stops the start
    When the modes "<modes>" are read
    Then it is refused as settings_invalid, with "<words>"

    Examples:
      | modes       | words                                  |
      | waiting     | on\|off                                |
      | waiting=yes | waiting=yes                            |
      | queues=on   | waiting\|regions\|returns\|shares\|memory\|speed |

  Scenario: Operators see what waits, is refused and comes back
    Given two gateways of one region whose requests waited, were refused and came back
    Then the overload view sums them by service and priority
    And a gateway of an older version adds nothing
