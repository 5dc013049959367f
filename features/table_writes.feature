Feature: A table of key ranges is written over the revision that it was computed from

  Scenario: A table that was computed before another change undoes that change
    Given a deployment of 3 VMs
    When vm-a learns of a hand-over in the turn in which it has proposed a suspicion
    Then no table undid the change of another
    And the suspicion is recorded without undoing the hand-over

  Scenario: The first write under the name of a table is the table
    Given a deployment of 3 VMs
    Then the store has accepted a reservation that tells of no table before, then the table
    When the store is restored from a copy of now
    Then the store has accepted a reservation that tells of a table before, then the table

  Scenario Outline: A new process takes a reservation in the place of a table for the first one
    Given a reservation that tells of <known> before
    Then a process of the first start finds that <found>
    And a process that starts later finds that a table was replaced

    Examples:
      | known    | found                 |
      | a table  | a table was replaced  |
      | no table | no table was replaced |

  Scenario: Processes that restart write a first table without waits after it was removed
    Given a deployment of 3 VMs
    When the table is removed while all processes restart
    Then the next table makes its owners wait until former leases have expired
    And no key was ever held by two upstreams

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

  Scenario: A suspicion that was refuted comes back with a table that was put back
    Given records of a table whose highest token is 9
    When a table with a suspicion of token 10 arrives, then one without it, and then the former again
    Then the known table is outdated, and still known

  Scenario: A table counts as put back at a later revision of its object
    Given records of a table whose highest token is 9
    When the same table arrives at a later revision
    Then the known table is not outdated

  Scenario Outline: A process that can't restore a table keeps to it for good
    Given records of a table whose highest token is 9
    When a table of another writer arrives, whose highest token is 7, and another change <seconds> seconds later
    Then the known table <state>
    And the next token of that table is 10

    Examples:
      | seconds | state           |
      | 11.9    | is outdated     |
      | 12.1    | is not outdated |

  Scenario Outline: A key goes back to its first owner under its old token as a table is put back
    Given a deployment of 3 VMs
    When keys of vm-a move to vm-b, and another writer puts the table before back <missed>
    Then all processes know the same table within 3 seconds
    And no table in force undoes a change that the others know
    And no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others
    And all keys are served again within 3 seconds

    Examples:
      | missed                  |
      | again                   |
      | and vm-c writes over it |

  Scenario: A process that starts takes a former table that was put back for the present one
    Given a deployment of 3 VMs
    When keys of vm-a move to vm-b, and the table before is put back as the process of vm-a starts again
    Then no key was ever held by two upstreams
    And each upstream took keys with tokens above those of all others
    And vm-a uses its keys within 16 seconds

  Scenario: A process that starts takes a former table for the present one as the history is gone
    Given a deployment of 3 VMs
    When the store drops its history, keys of vm-a move to vm-b, and the table before is put back as the process of vm-a starts again
    Then no key was ever held by two upstreams

  Scenario: A process that starts takes a former table for the present one before it is linked to its peers
    Given a deployment of 3 VMs
    When the store drops its history, and vm-a starts again on the table before a hand-over, and is linked 0.3 s later
    Then no key was ever held by two upstreams

  Scenario Outline: A process that starts serves no keys as the store has dropped its history
    Given a deployment of 3 VMs
    When the process of vm-a starts again, and the store has dropped its history and <serves it>
    Then vm-a uses its keys within 3 seconds
    And all keys are served again within 3 seconds
    And no key was ever held by two upstreams

    Examples:
      | serves it         |
      | serves it         |
      | rejects its calls |

  Scenario: A process whose calls the store rejects does not learn what came before its table
    Given a deployment of 3 VMs
    When vm-a, whose calls the store rejects, reads the history of the tables
    Then it has the same changes as vm-b, by a peer's call

  Scenario: A table of another era in the place of a table hides that it was replaced
    Given records of a table whose highest token is 9
    When a table of another writer arrives in its place, of another era
    Then the known table is outdated, and still known

  Scenario: The copy of a table in a restored store is taken for a table of its era
    Given records of a table whose highest token is 9
    When a listing of the restored store brings the copy of that table
    Then the known table is outdated, and still known

  Scenario: A member that was written again is removed on an earlier decision
    Given a deployment of 3 VMs
    When vm-a removes the member of vm-b as it was before its last write
    Then the member of vm-b is still there

  Scenario: Keys of a live owner are taken as a removal of its member is carried out late
    Given a deployment of 3 VMs
    When the member of vm-b, which owns keys, is removed, and written again 1.5 s later
    Then no key was ever held by two upstreams
    And vm-b still owns its keys, and no suspicion remains

  Scenario: Keys of an owner whose member was removed without a retirement stay unserved
    Given a deployment of 3 VMs
    When vm-b ends, and its member is removed while it owns keys
    Then within 4 seconds a suspicion against vm-b is recorded

  Scenario: A table without waits is written in the place of a reservation that vanished
    Given a reservation that tells of no table before
    When a listing lacks it
    Then a process of the first start finds that a table was replaced

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
    And its tokens are above all that the store had at revision 6

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
