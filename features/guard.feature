Feature: The guard runs a non-idempotent request at most once

  Scenario: A repeat of a running order joins it
    Given a guard that owns the key
    When order A arrives from caller 1
    And order A arrives again from caller 2
    And the upstream answers order A
    Then the guard dispatched 1 request
    And callers 1 and 2 get the answer to order A

  Scenario: A repeat of a finished order gets the same answer
    Given a guard that owns the key
    When order A arrives from caller 1
    And the upstream answers order A
    And order A arrives again from caller 2
    Then the guard dispatched 1 request
    And callers 1 and 2 get the answer to order A

  Scenario: An order lost after it was sent is unknown and stays so
    Given a guard that owns the key
    When order A arrives from caller 1
    And the connection of order A is lost after it was sent
    And order A arrives again from caller 2
    Then the guard dispatched 1 request
    And caller 1 gets outcome unknown with code connection-lost
    And caller 2 gets outcome unknown with code may-have-run

  Scenario: An order that was never sent is not run and may run later
    Given a guard that owns the key
    When order A arrives from caller 1
    And the connection of order A is lost before it was sent
    And order A arrives again from caller 2
    Then caller 1 gets outcome not run with code not-sent
    And the guard dispatched 2 requests

  Scenario: A different request under a used id is refused
    Given a guard that owns the key
    When order A arrives from caller 1
    And a different request arrives from caller 2 under the id of order A
    Then caller 2 gets outcome not run with code request-id-conflict

  Scenario: A stopped slice hands over what it knows once it is idle
    Given a guard that owns the key
    When order A arrives from caller 1
    And the guard is told to stop admitting
    And order B arrives from caller 2
    Then caller 2 gets outcome not run with code moving
    And the guard has not reported the slice idle
    When the upstream answers order A
    Then the guard hands over order A and reports the slice idle

  Scenario: After a clean hand-over the new owner tells what ran from what did not
    Given a guard that received order A in a hand-over with token 7 and gained token 8
    When order A is sent again from caller 1 with ticket 7
    And order B is sent again from caller 2 with ticket 7
    Then caller 1 gets outcome unknown with code answer-not-kept
    And the guard dispatched 1 request

  Scenario: After an unclean change the new owner runs no older ticket
    Given a guard that owns the key
    When order A is sent again from caller 1 with ticket 5
    Then caller 1 gets outcome unknown with code owner-changed
    And the guard dispatched 0 requests

  Scenario: A slice that is lost while an order runs is idle once the order ends
    Given a guard that owns the key
    When order A arrives from caller 1
    And the guard is told to stop admitting
    And the guard loses the slice
    Then the guard has not reported the slice idle
    When the upstream answers order A
    Then the guard reports the slice idle

  Scenario: The very first owner of a key knows that a repeat never ran
    Given a guard that is the very first owner of the key
    When order A is sent again without a ticket from caller 1
    Then the guard dispatched 1 request

  Scenario: A later owner does not know that, and says so
    Given a guard that follows an unknown owner of the key
    When order A is sent again without a ticket from caller 1
    Then the guard dispatched 0 request
    And caller 1 gets outcome unknown with code owner-changed
