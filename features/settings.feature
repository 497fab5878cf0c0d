Feature: Settings and the deployment configuration are checked on load

  Scenario Outline: The examples are valid
    Given a copy of the example "<example>"
    When the settings of "<entry>" are checked
    Then the exit code is 0
    And the deployment has <upstreams> upstreams and <slots> slots

    Examples:
      | example     | entry        | upstreams | slots |
      | tallow-brae | scot-east-1a | 28        | 84    |
      | tallow-brae | eng-north-2a | 28        | 84    |
      | wattanakul  | bkk-1a       | 32        | 128   |
      | wattanakul  | hkt-2a       | 32        | 128   |

  Scenario: Every entry of the examples is valid and has its own addresses
    Then every entry of both examples loads with addresses of its own

  # Guards against an entry that runs with unintended settings because the
  # parser ignores a misspelt key or a value of the wrong type or unit and uses
  # the default.
  Scenario Outline: A fault in the settings file names file, key and remedy
    Given a copy of the example "tallow-brae"
    And in file entry-scot-east-1a.toml <old> becomes <new>
    When the settings of "scot-east-1a" are checked
    Then the exit code is 2
    And the error kind is "settings_invalid"
    And a fault names "entry-scot-east-1a.toml", "<key>" and "<remedy>"

    Examples:
      | old                                | new                                          | key                        | remedy                   |
      | [platform]                         | [platform]~timeout = 500                     | platform.timeout           | write timeout_ms         |
      | [platform]                         | [platform]~timeout_s = 5                     | platform.timeout_s         | write timeout_ms         |
      | [platform]                         | [platform]~timeout_ms = "500"                | platform.timeout_ms        | a valid integer          |
      | [platform]                         | [platform]~timeout_ms = true                 | platform.timeout_ms        | a valid integer          |
      | [platform]                         | [platform]~timeout_ms = 0                    | platform.timeout_ms        | greater than 0           |
      | [platform]                         | [platform]~claim_retention_s = 60            | platform.claim_retention_s | longer than any deadline |
      | [platform]                         | [timing]~stop_limit_ms = 60000~[platform]    | timing.stop_limit_ms       | more than 60000          |
      | [entry]                            | [timings]~[entry]                            | timings                    | write timing             |
      | [platform]                         | [timing]~silence_limit_ms = 300~[platform]   | timing.silence_limit_ms    | at least 750             |
      | [platform]                         | [tracing]~exporter = "file"~[platform]       | tracing.file               | add the path             |
      | [platform]                         | [tracing]~exporter = "jaeger"~[platform]     | tracing.exporter           | 'console'                |
      | [platform]                         | [log]~level = 1979-05-27~[platform]          | log.level                  | 'INFO'                   |
      | name = "scot-east-1a"              | #                                            | entry.name                 | add this key             |
      | region = "scot-east"               | region = "scot-west"                         | entry.region               | write scot-east          |
      | availability_zone = "scot-east-1"  | availability_zone = "scot-esat-1"            | entry.availability_zone    | or scot-east-1           |
      | caller_address = "127.0.0.1:20101" | caller_address = "localhost:20101"           | entry.caller_address       | an IP number             |
      | caller_address = "127.0.0.1:20101" | caller_address = "127.0.0.1:20102"           | entry.forward_address      | an address of its own    |
      | caller_address = "127.0.0.1:20101" | caller_address = "127.0.0.1"                 | entry.caller_address       | an IP number             |
      | url = "http://127.0.0.1:20000"     | url = "127.0.0.1:20000"                      | platform.url               | http://                  |
      | [entry]                            | [entry                                       |                            | mend the line            |

  Scenario Outline: A fault in the deployment file names file, key and remedy
    Given a copy of the example "tallow-brae"
    And in file deployment.toml <old> becomes <new>
    When the settings of "scot-east-1a" are checked
    Then the exit code is 2
    And the error kind is "settings_invalid"
    And a fault names "deployment.toml", "<key>" and "<remedy>"

    Examples:
      | old                          | new                          | key                                     | remedy                  |
      | cap_bytes_per_s = 125000000  | cap = 125000000              | links[0].cap                            | write cap_bytes_per_s   |
      | cap_bytes_per_s = 125000000  | cap_mb_per_s = 125           | links[0].cap_mb_per_s                   | write cap_bytes_per_s   |
      | cap_bytes_per_s = 125000000  | cap_bytes_per_s = 0          | links[0].cap_bytes_per_s                | greater than 0          |
      | cap_bytes_per_s = 125000000  | cap_bytes_per_s = 1.5        | links[0].cap_bytes_per_s                | a valid integer         |
      | region = "scot-west"         | region = "scot-wset"         | links[1].region                         | write scot-west         |
      | region = "scot-west"         | region = "scot-east"         | links[1]                                | keep one link           |
      | slots = 3                    | slots = 0                    | upstreams.matching-se1-1.slots          | greater than 0          |
      | address = "127.0.0.1:20201"  | address = "127.0.0.1:20200"  | upstreams.matching-se2-1.address        | its own address         |
      | address = "127.0.0.1:20201"  | address = "127.0.0.1:70000"  | upstreams.matching-se2-1.address        | an IP number            |
      | services = ["matching"]      | services = ["matchin"]       | upstreams.matching-se1-1.services[0]    | write matching          |
      | profile = "spread"           | profile = "lokal"            | services.matching.profile               | write local             |
      | policy = "local"             | policy = "nearby"            | profiles.local.policy                   | 'round_robin'           |
      | headroom_fraction = 0.1      | headroom_fraction = nan      | profiles.local.headroom_fraction        | less than or equal to 1 |
      | idempotent = false           | idempotent = "no"            | services.matching.classes[1].idempotent | a valid boolean         |
      | deadline_ms = 2000           | deadline_s = 2               | services.matching.classes[0].deadline_s | write deadline_ms       |
      | body_limit_bytes = 65536     | body_limit_bytes = 65537     | services.matching.classes[1].body_limit_bytes | write 65536 or less |
      | path = "/approvals"          | path = "approvals"           | services.matching.classes[1].path       | such as /orders/*       |
      | methods = ["POST"]           | methods = ["PSOT"]           | services.matching.classes[1].methods[0] | write POST              |
      | "scot-west-1", "scot-west-2" | "scot-west-1", "scot-east-2" | regions.scot-west.availability_zones[1] | in one region           |
      | leaving = []                 | leaving = ["a", "a"]         | marks.leaving[1]                        | name each VM once       |
      | "eng-north-2"                | "eng north"                  | regions.eng-north.availability_zones[1] | a letter or digit first |
      | [profiles.spread]            | [profiles."a/b"]             | profiles.a/b                            | a letter or digit first |
      | [marks]                      | [services.v1]~profile = "local"~classes = []~[marks] | services.v1     | another name            |
      | [regions.scot-east]          | [region.scot-east]           | region                                  | write regions           |

  # Guards against an upstream whose connections are used as its slots, because
  # arrays are accepted as tables by the order of their items and a field is
  # inserted later.
  Scenario: An array in place of a table is refused
    Given a copy of the example "tallow-brae"
    And the deployment file reads
      """
      [regions.scot-east]
      availability_zones = ["scot-east-1"]
      [profiles.local]
      policy = "local"
      [services.matching]
      profile = "local"
      classes = [["look_up", ["GET"], "/orders/*", true, "interactive", 2000]]
      [upstreams]
      odd = [["matching"], "127.0.0.1:1", "scot-east-1", 3, 9]
      """
    When the settings of "scot-east-1a" are checked
    Then the exit code is 2
    And a fault names "deployment.toml", "upstreams.odd" and "write a table"
    And these faults are listed, and no other
      | file            | key                          |
      | deployment.toml | services.matching.classes[0] |
      | deployment.toml | upstreams.odd                |

  # Guards against an operator who needs five rounds to correct a file because
  # each check stops at the first error.
  Scenario: Every fault of both files is listed at once
    Given a copy of the example "tallow-brae"
    And in file entry-scot-east-1a.toml [platform] becomes [platform]~timeout = 500
    And in file entry-scot-east-1a.toml 127.0.0.1:20101 becomes 127.0.0.1:20102
    And in file deployment.toml cap_bytes_per_s = 125000000 becomes cap_bytes_per_s = 0
    And in file deployment.toml slots = 3 becomes slots = "3"
    And in file deployment.toml profile = "spread" becomes profile = "lokal"
    And in file deployment.toml [regions.scot-west] becomes regions.odd = ["odd-1"]~[regions.scot-west]
    When the settings of "scot-east-1a" are checked
    Then the exit code is 2
    And these faults are listed, and no other
      | file                    | key                            |
      | entry-scot-east-1a.toml | platform.timeout               |
      | entry-scot-east-1a.toml | entry.forward_address          |
      | deployment.toml         | regions.scot-east.regions      |
      | deployment.toml         | upstreams.matching-se1-1.slots |
      | deployment.toml         | links[0].cap_bytes_per_s       |
      | deployment.toml         | services.matching.profile      |

  Scenario Outline: A file that cannot be read is said so
    Given a copy of the example "tallow-brae"
    And "<file>" is <state>
    When the settings of "scot-east-1a" are checked
    Then the exit code is 2
    And a fault names "<file>", "" and "<remedy>"

    Examples:
      | file                    | state     | remedy        |
      | entry-scot-east-1a.toml | missing   | give the path |
      | deployment.toml         | missing   | give the path |
      | deployment.toml         | not UTF-8 | save it       |

  Scenario: An edit with a fault is a configuration error
    Given a copy of the example "tallow-brae"
    And in file deployment.toml cap_bytes_per_s = 125000000 becomes cap = 125000000
    When the configuration "deployment.toml" is checked
    Then the exit code is 9
    And the error kind is "configuration_invalid"
    And a fault names "deployment.toml", "links[0].cap" and "write cap_bytes_per_s"

  Scenario: The tool as a process ends with the exit code
    Given a copy of the example "tallow-brae"
    And "deployment.toml" is missing
    When the settings of "scot-east-1a" are checked by a process
    Then the exit code is 2
