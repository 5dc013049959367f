Feature: A table of key ranges is written over the revision that it was computed from

  Scenario: A table that was computed before another change undoes that change
    Given a deployment of 3 VMs
    When vm-a learns of a hand-over in the turn in which it has proposed a suspicion
    Then no table undid the change of another
    And the suspicion is recorded without undoing the hand-over

  Scenario: A write over a revision that has passed succeeds
    Given a deployment of 3 VMs
    When a process writes a table computed from a revision that has passed
    Then the write is refused as a conflict

  Scenario: A write that a peer carries out names a later revision than its base
    Given a deployment of 3 VMs
    When the store fails vm-a's own write of a table as it learns of another change
    Then the write is refused as a conflict

  Scenario: A table whose highest token is lower than that of its base is written
    Given a deployment of 3 VMs
    When vm-a is to write a table whose highest token is lower than that of its base
    Then the store gets no write of a table

  Scenario: A token is issued again after the highest token of the stored table fell
    Given records of a table whose highest token is 9
    When a table of another writer arrives, whose highest token is 7
    Then the next token of that table is 10
    And the fall was logged once as an error

  Scenario: A member that was written again is removed on an earlier decision
    Given a deployment of 3 VMs
    When vm-a removes the member of vm-b as it was before its last write
    Then the member of vm-b is still there

  Scenario Outline: A table that was <replaced> by another writer is written from an older one
    Given a deployment of 3 VMs
    When vm-a misses a hand-over after which the table is <replaced> by another writer
    Then all processes know the same table within 3 seconds
    And no table undid the change of another
    And the keys of the hand-over are granted to one upstream at most for 3 seconds

    Examples:
      | replaced               |
      | damaged                |
      | removed                |
      | given a token too high |

  Scenario: A table with the highest possible token leaves none for later changes
    Given a deployment of 3 VMs
    When another writer gives the table the highest possible token
    Then a process has written a table in its place within 5 seconds
    And no table undid the change of another
    When the upstream of vm-c crashes
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others

  Scenario Outline: A table with the highest token that is accepted leaves none for later changes
    Given a table with the highest token that is accepted at revision <revision>
    When a process writes a change of it <written>
    Then that table is accepted

    Examples:
      | revision | written                        |
      | 2        | with the next token            |
      | 2        | as a table that was restored   |
      | 1000000  | with the next token            |
      | 1000000  | as a table that was restored   |

  Scenario Outline: A hand-over is written over something else than the table that it changes
    Given a deployment of 3 VMs
    And vm-a can't write the new owners of keys that it has released
    When vm-a misses a hand-over meanwhile after which the table is <replaced> by another writer
    And the store accepts writes again
    Then all processes know the same table within 3 seconds
    And no table undid the change of another
    And the keys of the hand-over are granted to one upstream at most for 3 seconds

    Examples:
      | replaced |
      | damaged  |
      | removed  |

  Scenario Outline: Tokens are renewed in something else than the table
    Given a deployment of 3 VMs
    And vm-a renews its tokens once it knows that the table was replaced
    When vm-a misses a hand-over after which the table is <replaced> by another writer
    Then all processes know the same table within 3 seconds
    And no table undid the change of another
    And the keys of the hand-over are granted to one upstream at most for 3 seconds

    Examples:
      | replaced |
      | damaged  |
      | removed  |

  Scenario: A process that starts writes a first table over something else
    Given nodes a, b and c of which none knows a table, and something else in its place
    When the members have been stable for 2.0 seconds
    Then a proposes no table
    When the members have been stable for 4.0 seconds
    Then a proposes a table whose owners wait until former leases have expired
    And its tokens are above 100000

  Scenario Outline: All owners have hand-overs in progress as the table is lost
    Given a deployment of 2 VMs
    And each hands keys over to the other while the store rejects writes
    When the table is <lost>, and the store accepts writes again
    Then all processes know the same table within 10 seconds
    And all keys are served again within 14 seconds

    Examples:
      | lost     |
      | damaged  |
      | restored |
