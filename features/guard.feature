Feature: The guard runs a non-idempotent request at most once

  Scenario: A repeated order that is still running is not run again
    Given a guard that owns the key
    When order A arrives from caller 1
    And order A arrives again from caller 2
    And the upstream answers order A
    Then the guard dispatched 1 request
    And callers 1 and 2 get the answer to order A

  Scenario: A repeated order that was answered gets the stored answer
    Given a guard that owns the key
    When order A arrives from caller 1
    And the upstream answers order A
    And order A arrives again from caller 2
    Then the guard dispatched 1 request
    And callers 1 and 2 get the answer to order A

  Scenario: An order whose connection is lost after sending stays unknown
    Given a guard that owns the key
    When order A arrives from caller 1
    And the connection of order A is lost after it was sent
    And order A arrives again from caller 2
    Then the guard dispatched 1 request
    And caller 1 gets outcome unknown with code connection-lost
    And caller 2 gets outcome unknown with code may-have-run

  Scenario: An order that was not sent is reported not run and may be sent again
    Given a guard that owns the key
    When order A arrives from caller 1
    And the connection of order A is lost before it was sent
    And order A arrives again from caller 2
    Then caller 1 gets outcome not run with code not-sent
    And the guard dispatched 2 requests

  Scenario: A different request with a recorded id is rejected
    Given a guard that owns the key
    When order A arrives from caller 1
    And a different request arrives from caller 2 under the id of order A
    Then caller 2 gets outcome not run with code request-id-conflict

  Scenario: A stopped slice hands over its ledger only after its last order ended
    Given a guard that owns the key
    When order A arrives from caller 1
    And the guard stops admitting requests
    And order B arrives from caller 2
    Then caller 2 gets outcome not run with code moving
    And the guard has not reported the slice idle
    When the upstream answers order A
    Then the guard hands over order A and reports the slice idle

  Scenario: After a hand-over the new owner runs no order that the former owner ran
    Given a guard that received order A in a hand-over with token 7 and gained token 8
    When order A is sent again from caller 1 with ticket 7
    And order B is sent again from caller 2 with ticket 7
    Then caller 1 gets outcome unknown with code answer-not-kept
    And the guard dispatched 1 request

  Scenario: Without a hand-over the new owner runs no order with an older ticket
    Given a guard that owns the key
    When order A is sent again from caller 1 with ticket 5
    Then caller 1 gets outcome unknown with code owner-changed
    And the guard dispatched 0 requests

  Scenario: A slice lost while an order runs is reported idle only after the order ended
    Given a guard that owns the key
    When order A arrives from caller 1
    And the guard stops admitting requests
    And the guard loses the slice
    Then the guard has not reported the slice idle
    When the upstream answers order A
    Then the guard reports the slice idle

  Scenario: The first owner of a key runs a resent order without a ticket
    Given a guard that is the first owner of the key
    When order A is sent again without a ticket from caller 1
    Then the guard dispatched 1 request

  Scenario: A later owner does not run a resent order without a ticket
    Given a guard that is a later owner of the key without a received ledger
    When order A is sent again without a ticket from caller 1
    Then the guard dispatched 0 request
    And caller 1 gets outcome unknown with code owner-changed
