Feature: The daemon's guard gives each slot back, whatever becomes of a request

  Scenario: A lookup that is cancelled in the turn of its dispatch keeps its slot
    Given a guard of the daemon with one slot
    When a pause outlasts the deadline of a lookup in the turn of its dispatch
    Then no request holds the slot of the daemon's guard
    And the daemon's guard sends a later order

  Scenario: An order whose exchange ends with an unforeseen error keeps its slot
    Given a guard of the daemon with one slot
    When an order is sent whose exchange ends with an unforeseen error
    Then no request holds the slot of the daemon's guard
    And the caller of the failed order gets outcome unknown
    And the failure is logged with the id of the order
    And the daemon's guard sends a later order

  Scenario Outline: <kind> that waits is sent although its caller has left
    Given a guard of the daemon with one slot
    When an order holds the slot and the caller of <kind> that waits leaves
    And the order is answered
    Then nothing but the order was sent to the daemon's upstream
    And the daemon's guard sends a later order

    Examples:
      | kind      |
      | an order  |
      | a lookup  |

  Scenario: A lookup runs on although its only caller has left
    Given a guard of the daemon with one slot
    When a lookup is sent and its caller leaves
    Then no request holds the slot of the daemon's guard
    And the daemon's guard sends a later order

  Scenario: A lookup is cancelled although another caller waits for it
    Given a guard of the daemon with one slot
    When a lookup is sent for two callers and the first leaves
    Then the second caller gets the answer

  Scenario: An order that was sent is cancelled because its caller has left
    Given a guard of the daemon with one slot
    When an order is sent and its caller leaves
    Then it still runs at the daemon's upstream

  Scenario Outline: A caller leaves <turns> turns after an answer has freed the slot for its lookup
    Given a guard of the daemon with one slot
    When an order is answered and <turns> turns later the caller of a lookup that waits leaves
    Then no request holds the slot of the daemon's guard
    And the daemon's guard sends a later order

    Examples:
      | turns |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
