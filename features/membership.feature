Feature: The entry table changes only for a cause, and silence is none

  Background:
    Given entries "a, b, c" in the entry table, all heard

  Scenario: A silent entry takes no new work and keeps its row
    # Guards against two entries that are home of one upstream, which gets more
    # requests than slots: a frozen entry's row is removed as silence is taken
    # for death, another becomes home, and the frozen one wakes and continues.
    When "c" is not heard for 600 seconds
    Then the live entries are "a, b"
    And "a" plans no change

  Scenario: A VM that the list shows to be gone is dropped
    When "c" is not heard for 5 seconds
    And the VM list holds "a, b", 1 second old
    And the VM list holds "a, b", 1 second old
    Then "a" plans the table "a, b" with epoch 2, of which work is lost

  Scenario: One answer without the VM is not enough
    When "c" is not heard for 5 seconds
    And the VM list holds "a, b", 1 second old
    Then "a" plans no change

  Scenario: A list that lags behind the registration drops nobody
    # Guards against a new entry that is removed seconds after it registers,
    # because the VM list is some seconds old and does not contain its VM yet.
    Given entry "d" registers, and no heartbeat of it came yet
    When the VM list holds "a, b, c", 30 seconds old
    And the VM list holds "a, b, c", 29 seconds old
    Then "a" plans no change

  Scenario: An older replica of the list does not count
    # Guards against a live entry that is removed because two responses of a
    # replica of the list that lags behind arrive after a newer list with its
    # VM, and are applied in the order of arrival.
    Given entry "d" registers
    When "d" is not heard for 60 seconds
    And the VM list holds "a, b, c, d", 1 second old
    And the VM list holds "a, b, c", 20 seconds old
    And the VM list holds "a, b, c", 20 seconds old
    Then "a" plans no change

  Scenario: An entry that speaks is not gone, whatever the list says
    When the VM list holds "a, b", 0 seconds old
    And "c" is heard again
    And the VM list holds "a, b", 0 seconds old
    And "c" is heard again
    And the VM list holds "a, b", 0 seconds old
    Then "a" plans no change

  Scenario: A list older than the last heartbeat does not count
    When the VM list holds "a, b", 5 seconds old
    And the VM list holds "a, b", 4 seconds old
    Then "a" plans no change

  Scenario: A list that lacks its own reader is not believed
    When "b, c" is not heard for 5 seconds
    And the VM list holds "", 0 seconds old
    And the VM list holds "", 0 seconds old
    Then "a" plans no change

  Scenario: The list still holds a VM that is gone
    When "c" is not heard for 5 seconds
    And the VM list holds "a, b, c", 1 second old
    Then "a" plans no change
    And the live entries are "a, b"

  Scenario: An entry that finished leaving is dropped without the list
    When "c" says that it finished leaving
    Then "a" plans the table "a, b" with epoch 2, of which nothing is lost

  Scenario: The last word of a process does not drop the one after it
    When "c" says that it finished leaving
    And "c" restarts and registers
    Then "a" plans no change

  Scenario: Late frames of the old process do not drop the restarted one
    # Guards against an entry that is removed right after its restart, because
    # the last frame of the old process, which finished leaving, is read after
    # the first frame of the new one and taken for the newer report.
    When "c" restarts and its last frame is read after the new first
    Then "a" plans no change
    And the live entries are "a, b, c"

  Scenario: An entry that leaves takes no new work at once
    When "b" says that it is leaving
    Then the live entries are "a, c"
    And "a" plans no change

  Scenario: What an entry said while it joined does not stand for ever
    # Guards against entries that lookups of other availability zones never name
    # (seen with 32 entries): an entry reports to all of a small table that it
    # accepts no work yet, and when the table has grown, others hear of it by
    # relayed digests only, which do not update that report.
    When "b" says that it is leaving
    And "b" is heard through digests only for 4 seconds
    Then the live entries are "a, c"
    When "b" is heard through digests only for 30 seconds
    Then the live entries are "a, b, c"

  Scenario: What an entry of the group says of itself is not undone by relays
    When "b" says that it is leaving
    And "b", of the same group, is heard through relays for 30 seconds
    Then the live entries are "a, c"

  Scenario: A mark of one source is not undone by the silence of another
    When the operators mark "b" as leaving
    And "b" is heard again
    Then the live entries are "a, c"
    When the VM list has "c" as leaving
    And the VM list holds "a, b", 0 seconds old
    Then the live entries are "a"

  Scenario: With the platform out the table stands still
    Given the platform is out of reach
    When "b" registers "d" in the platform
    Then the platform refuses
    And the entry table has epoch 1 and "a, b, c"
    And the live entries are "a, b, c"

  Scenario: Two entries register at once
    When "d" and "e" register in the platform at once
    Then the platform's table is "a, b, c, d, e" with epoch 3

  Scenario: The answer to a registration is lost
    Given the platform loses the answer of the next change
    When "b" registers "d" in the platform
    Then the platform's table is "a, b, c, d" with epoch 2

  Scenario: A restarted process has no duty before its row is replaced
    # Guards against an upstream that gets more requests than slots: an entry is
    # killed with requests in flight, and its next process takes the old row in
    # the table for its own and acts as home with all slots free.
    When "c" restarts and registers
    Then the entry table has epoch 2 and "a, b, c"
    And the table tells that work was lost under epoch 2

  Scenario: A name in use is refused to another VM
    When another VM registers as "c"
    Then the registration is refused

  Scenario: A platform rolled back does not bring an older table back
    # Guards against home roles that return to an entry that handed them over,
    # because the platform is restored from a backup with a lower epoch and
    # entries apply any table it serves.
    Given entry "d" registers
    When the platform serves the table "a, b, c" with epoch 1
    Then the entry table has epoch 2 and "a, b, c, d"

  Scenario: An entry on a rolled-back platform knows that it is behind
    When "b" is heard on epoch 7
    Then "a" is behind and takes no duty

  Scenario: One entry at a time writes a planned change
    Given 40 entries in the entry table, all heard
    Then their turns to write run from 0 to 39

  Scenario: Today's size is heard in full within a second
    Given 10 entries in 6 availability zones
    When heartbeats are sent for 1 second
    Then every entry has sent to all 9 others

  Scenario: The target size stays within its group and its far contacts
    Given 770 entries in 14 availability zones
    When heartbeats are sent for 15 seconds
    Then every entry has sent to all 54 others of its zone
    And no entry has sent to more than 80 entries

  Scenario: In a zone of the target size relays keep every word fresh
    # An entry sends to each other entry of its zone only every ten to fifteen
    # seconds; relays must not let a live entry look silent in between.
    When 55 entries of one zone exchange heartbeats for 12 seconds
    Then no word on any entry is older than 3 seconds
    And no entry sent more than 1800 bytes a second

  Scenario: A view carries the age and version of what its sender heard
    Given 40 entries in the entry table, all heard
    When "e3" was heard 2 seconds ago and has version 5 of 7
    Then a reader of the view hears of "e3" 2 seconds ago with version 5
    And a reader with another epoch learns nothing

  Scenario: A digest says who is live and who has the version
    Given 40 entries in the entry table, all heard
    When "e3" was heard 2 seconds ago and has version 5 of 7
    Then a reader of the digest learns that "e3" lacks version 7

  Scenario: The mark of a request that crashes upstreams leaves the zone
    # Guards against a retry through an entry of another zone that crashes a
    # third upstream: the request crashed two upstreams in one zone of a large
    # table, and its marks stay there because far zones get digests only.
    Given 40 entries in 4 availability zones
    When one entry has marked a request and sends heartbeats for 3 seconds
    Then entries of all 4 availability zones have the mark

  Scenario: Entries talk over real sockets, and a dead peer costs nothing
    # Guards against an entry that grows or stalls after a peer's process is
    # killed, because sends to the peer wait for the dead connection or queue up
    # behind it.
    Given two entries with real sockets
    When they hear each other within 2 seconds and one stops
    Then 2000 sends to it take less than 1 second and are counted as dropped

  # Guards against an entry that stalls before its socket thread has seen the
  # end of a peer.
  Scenario: Sends to a peer that stops this moment do not stall
    Given two entries with real sockets
    When they hear each other within 2 seconds and one stops this moment
    Then the sends to it take less than 1 second

  Scenario: Damaged and foreign messages are refused
    Then these frames are refused as "bad_request": empty, unknown tag, cut short

  Scenario: A platform that lost the table is not followed
    # Guards against running entries that lose their home roles to a new
    # process: it registers in the empty table of a wiped platform, and its
    # change, based on that table and not on the one in force, gets the highest
    # epoch.
    Then a change on the platform's table of epoch 0 starts from "a, b, c"
    When "c" is not heard for 5 seconds
    Then no change is made on the platform's table of epoch 0
    When "c" is heard again
    And "b" is heard on epoch 9
    Then no change is made on the platform's table of epoch 0
