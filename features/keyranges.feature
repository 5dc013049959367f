Feature: Ranges of keys and their owners

  Scenario: The first table follows what the upstreams can do
    Given a fast, a usual and a slow upstream
    When the first table is made
    Then the ranges cover all keys once
    And the fast upstream has 4 times the keys of the slow one

  Scenario: Any sequence of moves keeps the table whole and the tokens rising
    Then 200 random sequences of moves, losses and new lives keep the table whole

  Scenario: A silent owner keeps its keys until its tenure has surely ended
    Given nodes a, b and c that own all keys
    When b has been silent for 3.0 seconds
    Then a proposes a suspicion of b
    And nobody takes keys of b before the suspicion was waited out
    And a takes the keys of b once the suspicion was waited out

  Scenario: A read that shows a suspicion does not extend the tenure
    Given nodes a, b and c that own all keys
    When a suspicion of b stands in the table
    Then a read by b confirms nothing
    And the longest tenure of b ends before its keys may be taken

  Scenario: A suspected node that reaches the others denies it
    Given nodes a, b and c that own all keys
    When a suspicion of b stands in the table
    Then b proposes to remove the suspicion
    But b hands its keys over when it reaches nobody

  Scenario: An upstream that leaves hands its keys over
    Given nodes a, b and c that own all keys
    When the upstream of b is draining
    Then b hands over exactly its keys, to a and c

  Scenario: An upstream that crashed gives its keys away without waiting
    Given nodes a, b and c that own all keys
    When the upstream of b is gone
    Then b writes a table in which a and c own all keys

  Scenario: An upstream with a new life gets its keys with a higher token
    Given nodes a, b and c that own all keys
    When the upstream of b has started anew
    Then b writes a table with its new life and a token above all others

  Scenario: A member that joins gets its share from the most crowded owner
    Given nodes a, b and c that own all keys
    When node d joins
    Then exactly one of a, b and c hands a quarter of all keys to d

  Scenario: Busy keys that lie close together are split between owners
    Given an owner with three times its capacity on 200 neighbouring keys
    When it decides what to give away
    Then it gives between 30 and 70 percent of that work to the idle owner

  Scenario: Two overloaded owners fill no heir beyond the mean
    Given two overloaded owners and two idle ones
    Then together they give to both heirs, and none beyond the mean by a tenth

  Scenario: A hot spot in a fleet of 40 is spread in three rounds
    Given 40 owners, and 300 busy keys of 13 owners' work that lie close together
    When all owners decide at the same time what to give away, 3 times
    Then no owner has more than 1.1 times its capacity

  Scenario: Owners that are nearly even keep their keys
    Given two owners with demands of 0.95 and 0.85
    Then nothing is given away

  Scenario: The table stays short however often processes restart in turn
    Given nodes a, b and c that own all keys
    When each of them gives its keys away and gets a share back, 20 times
    Then the table has at most 24 ranges

  Scenario: Keys are given away at a restart only if the others have room
    Then an owner with demand 0.3 gives its keys to others with 0.3 and 0.4
    But an owner with demand 0.9 keeps them beside others with 0.8 and 0.9
