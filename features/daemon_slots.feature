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
