Feature: Ownership of key ranges

  Scenario: The first table divides the keys by the capacity of the upstreams
    Given a fast, a normal and a slow upstream
    When the first table is made
    Then the ranges cover all keys once
    And the fast upstream has 4 times the keys of the slow one

  Scenario: Any sequence of transfers keeps the table complete and the tokens increasing
    Then 200 random sequences of moves, losses and restarts keep the table complete

  Scenario: Keys of an unresponsive owner are not reassigned before its lease has expired
    Given nodes a, b and c that own all keys
    When b has been unresponsive for 3.0 seconds
    Then a proposes a suspicion against b
    And no process takes keys of b before its lease has expired
    And a takes the keys of b once its lease has expired

  Scenario: An owner that a process has not heard of yet keeps its keys
    Given nodes a, b and c that own all keys
    When a has not heard of b
    Then no process takes keys of b before its lease has expired
    When the member of b has been removed
    Then a takes the keys of b

  Scenario: A missing member counts as removed only if it must have been heard of
    Given records with a listing of the members at revision 20
    Then a member that existed at revision 20 has been removed
    But a member that existed at revision 21 may not have been heard of
    When a member is received and removed again
    Then that member has been removed, whatever the revision

  Scenario: A read that shows a suspicion does not extend the lease
    Given nodes a, b and c that own all keys
    When the table contains a suspicion against b
    Then a read by b does not renew its lease
    And the longest possible lease of b expires before its keys may be taken

  Scenario: A suspected node that reaches its peers refutes the suspicion
    Given nodes a, b and c that own all keys
    When the table contains a suspicion against b
    Then b proposes to remove the suspicion
    But b hands its keys over if it reaches no peer

  Scenario: A suspected process gives its keys away as its links are not up yet after its start
    Given nodes a, b and c that own all keys
    When the table contains a suspicion against b
    Then b keeps its keys without links until 1.0 seconds after its start
    But b refutes the suspicion at once if its links are up then
    And b hands its keys over at once if its upstream is draining
    And b hands its keys over if it reaches no peer
    And a takes the keys of b once its lease has expired

  Scenario: A suspected process gives its keys away as the member of its new upstream is not stored yet
    Given nodes a, b and c that own all keys
    When the table contains a suspicion against b
    Then b keeps its keys until the member of its new upstream is stored
    But b transfers its keys if the new upstream is draining, or gone

  Scenario: Two suspected processes hand the same ranges to each other
    Given nodes a, b, c and d that own all keys
    When a and d suspect b and c, which reach only each other
    Then b and c transfer each range at most once in 20 rounds, and not to each other
    When a and d are suspected too
    Then b and c keep their keys

  Scenario: A suspected process gets keys of another owner
    Given nodes a, b, c and d that own all keys
    When the table contains a suspicion against b
    Then c transfers its keys to a and d when its upstream is draining
    And c transfers its keys to a and d when its upstream is gone
    And a takes the keys of c for itself and d when c has been removed

  Scenario: A suspected process that has transferred its keys gets some back as a new member
    Given nodes a, b, c and d that own all keys
    When b, which is suspected, has transferred its keys
    Then no owner transfers keys to b
    And b, which reaches no peer, takes no keys of c when c has been removed
    But an owner transfers keys to b once the suspicion is refuted

  Scenario: A draining upstream hands its keys over
    Given nodes a, b and c that own all keys
    When the upstream of b is draining
    Then b hands over exactly its keys, to a and c

  Scenario: Keys of a crashed upstream are reassigned without waiting for a lease to expire
    Given nodes a, b and c that own all keys
    When the upstream of b is gone
    Then b writes a table in which a and c own all keys

  Scenario: A restarted upstream gets its keys with a higher token
    Given nodes a, b and c that own all keys
    When the upstream of b has restarted
    Then b writes a table with its new incarnation and a token above all others

  Scenario: A new member gets its share from the owner with the most keys
    Given nodes a, b and c that own all keys
    When node d joins
    Then exactly one of a, b and c hands a quarter of all keys to d

  Scenario: Adjacent hot keys are split between owners
    Given an owner with three times its capacity on 200 adjacent keys
    When it plans its transfers
    Then it transfers between 30 and 70 percent of that work to the idle owner

  Scenario: Keys move from an owner whose upstream states a rate limit below their demand
    Given an owner with half its slots in use and requests at twice its rate limit
    When it plans transfers to an owner with a tenth of its slots in use
    Then the new owner gets between 30 and 60 percent of the work
    But an owner within its rate limit plans none

  Scenario: Few keys move to an owner whose upstream states a rate limit
    Given an owner at three times the capacity of its slots
    When it plans transfers to an owner with little work, but half its rate limit in use
    Then the new owner gets at most 15 percent of the work

  Scenario: Two overloaded owners do not overfill a common new owner
    Given two overloaded owners and two idle ones
    Then their transfers fill both idle owners to within a tenth of the mean

  Scenario: A hot spot in a fleet of 40 is spread in three rounds
    Given 40 owners, and 300 adjacent keys with the work of 13 owners
    When all owners plan their transfers at the same time, 3 times
    Then no owner has more than 1.1 times its capacity

  Scenario: Owners with similar demands keep their keys
    Given two owners with demands of 0.95 and 0.85
    Then no transfer is planned

  Scenario: The table stays short over repeated rolling restarts
    Given nodes a, b and c that own all keys
    When the nodes in turn transfer their keys and get a share back, 20 times
    Then the table has at most 24 ranges

  Scenario: Keys are transferred at a restart only if the others can absorb the load
    Then others with demands 0.3 and 0.4 can absorb an owner with demand 0.3
    But others with demands 0.8 and 0.9 cannot absorb an owner with demand 0.9

  Scenario: Keys are taken over early if the wait runs from a suspicion that was refuted
    Given nodes a, b and c that own all keys
    When a suspicion against it is refuted, and a second one is recorded
    Then a process that missed the refutation tells the suspicions apart

  Scenario: After a restore of the store, an owner that did not use keys before waits for former leases
    Given a table of a former era in which a owns the keys, and one in which b owns them
    When the store is restored, and a writes the table again as it knew it
    Then b uses none of the keys that it did not know to own, for 12 seconds
    And a goes on with its keys if its lease was valid, and waits if it had expired
    And a process that has restarted since waits for 12 seconds

  Scenario: An owner begins to use keys of a restored table while the table is outdated
    Given a table of a former era in which a owns the keys, and one in which b owns them
    When the store is restored, and a writes the table again as it knew it
    And b learns that something else has replaced that table before its wait ends
    Then b uses none of the keys while it knows no later table

  Scenario: After a restore of the store, nobody takes keys over before former leases have expired
    Given a table that was restored, whose owner b has been removed
    Then a proposes no takeover for 12 seconds, and one afterwards

  Scenario: A suspected owner hands over keys that it may not use yet after a restore
    Given a restored table with a suspicion against a, which may not use its keys yet
    Then a hands nothing over although it reaches few peers

  Scenario: Joined ranges of a restored table stay in use
    Given an owner of two adjacent ranges with different tokens
    When the store is restored, and the table with both ranges joined
    Then it goes on with the joined range

  Scenario: Keys are used again since the repetition of an unanswered write was not sent
    Given an owner a, whose write that gives keys to b has no answer
    When the same write is repeated, and is not sent
    Then the keys are withheld until the table has a later revision

  Scenario: Suspicions that are refuted each time are written several times a second
    Given nodes a, b and c that own all keys
    When b refutes each suspicion of a at once, for 60 seconds
    Then a has suspected b at most 10 times
    And after each refutation c suspects b at once, if b is unresponsive
    And a suspects b at once if it was reachable for a minute

  Scenario: Refuted suspicions are not counted on the metrics address
    Given a deployment of 3 VMs
    When vm-a can't reach vm-c, which refutes the suspicions of vm-a, for 6 seconds
    Then vm-a has written at most 4 suspicions
    And the metrics of vm-a count the refuted ones
