Feature: The store is restored from a copy, and loses what it has acknowledged

  Scenario: A configuration confirmed after the store was restored is not in force
    Given a deployment of 3 VMs, of whose store a copy is taken
    When the operator moves the route to /b/, and the store is restored
    Then each VM serves /b/ and no longer /a/
    When the operator writes the route /b/ again, and then moves it to /c/
    Then 2 seconds later, each VM serves /c/ and no longer /b/

  Scenario: After a restore, the store is called without a pause
    Given a deployment of 3 VMs, of whose store a copy is taken
    When the operator moves the route to /b/, and the store is restored
    Then the store gets at most 150 calls in the next 3 seconds

  Scenario Outline: Keys are unserved or held twice after the store was restored
    Given a deployment of 3 <VMs>, of whose store a copy is taken
    When the keys of vm-b move to the others, and the store is restored
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others
    When the upstream of vm-c crashes
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: A restarted VM takes the keys that the restored copy gives it
    Given a deployment of 3 VMs, of whose store a copy is taken
    When the keys of vm-b move to the others, and the store is restored as vm-b restarts
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others

  Scenario: A hand-over without an answer, which the store has lost since, is undone while its keys are held
    Given a deployment of 3 VMs, of whose store a copy is taken
    When vm-a misses the result of its hand-over, and the store is restored
    Then no key was ever held by two upstreams
    And all keys are served again within 14 seconds
    And no key was ever held by two upstreams

  Scenario Outline: A write that was never sent leaves keys unserved after a restore
    Given a deployment of 3 VMs, of whose store a copy is taken
    When the store is restored, and the upstream of vm-c <leaves> before the tables are listed
    Then the other VMs serve all keys within 3 seconds
    And no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others

    Examples:
      | leaves  |
      | crashes |
      | drains  |

  Scenario: Keys are given away without a note as a peer restores the table within a hand-over
    Given a deployment of 3 VMs
    When a peer restores the table before vm-a does so in a hand-over, as its upstream ends
    Then vm-a writes nothing else as a part of the restore

  Scenario Outline: A write of the table that meets a restored store counts as <wrongly>
    Given a deployment of 3 VMs
    When vm-a writes a table as the store is restored from a copy <copy>
    Then the write counts as <result>

    Examples:
      | copy                         | result      | wrongly  |
      | that vm-a has heard of       | not written | unknown  |
      | from before the last table   | not written | unknown  |
      | from before any table        | not written | unknown  |
      | of now                       | unknown     | written  |

  Scenario: A zone that was taken out is used again after the store was restored
    Given a deployment of 2 VMs, of whose store a copy is taken
    When perth-b is taken out, the store is restored, and a second later it is taken out again
    Then vm-b held no key from 2 seconds after it was first taken out

  Scenario: No key gets two owners or a token twice while the store is restored again and again
    Then 150 simulated fleets whose store is restored keep one owner for each key

  Scenario: Keys get two owners as an upstream is back while their reassignment has no answer
    Then 50 simulated fleets whose upstreams fall silent keep one owner for each key

  Scenario: A new process uses keys that a restored copy gives back to it
    Then fleet 57 of those whose upstreams fall silent keeps one owner for each key

  Scenario: A write without an answer replaces the table after the store was restored
    Given a deployment of 3 VMs, of whose store a copy is taken
    When the store is restored, and a write of the former era is carried out then
    Then all VMs still know the table that was restored

  Scenario: A write of a former era replaces the table of the present one
    Then 60 simulated fleets whose store is restored often keep one owner for each key

  Scenario Outline: A token is issued again after the table was <replaced>
    Then 60 simulated fleets whose table is <replaced> keep one owner for each key

    Examples:
      | replaced      |
      | damaged       |
      | removed       |
      | removed often |
      | reverted      |
      | reverted, and processes restart or are cut off |

  Scenario Outline: A former table is believed although the store keeps all changes since its base
    Then fleet <seed> <with silences>, whose table is reverted <at a pace>, keeps one owner for each key

    Examples:
      | seed    | with silences    | at a pace                         |
      | 400057  | without silences | in steps of 2 s                   |
      | 5100006 | without silences | in steps of 1 s, with late writes |
      | 5100077 | with silences    | in steps of 1 s, with late writes |
