Feature: An entry routes requests for the slices that its own process serves

  Scenario: An entry sends an order to a lost owner although its own process serves the key
    Given an entry whose table names a lost owner first and its own process second
    When its process has gained the slice and an order for the key arrives
    Then the order is sent to the own process with the ticket of its rank

  Scenario: A late row sends an order to a lost owner although the own process serves the key
    Given an entry whose table names a lost owner first and its own process second
    When its process has gained the slice, a newer row names both again, and an order arrives
    Then the order is sent to the own process with the ticket of its rank

  Scenario: An order is sent to the own process after it has lost the slice
    Given an entry whose table names a lost owner first and its own process second
    When its process has gained and lost the slice and an order for the key arrives
    Then the order is sent to the owner in the table

  Scenario: An order that the own process rejects is sent there again and again
    Given an entry whose table names a lost owner first and its own process second
    When its process has gained the slice and rejects an order as moving
    Then the order is sent to the owner in the table

  Scenario: Orders that wait for an owner are not sent when the own process becomes it
    Given an entry whose table names a lost owner first and its own process second
    When an order has been rejected by all and its process gains the slice
    Then the order is sent to the own process with the ticket of its rank

  Scenario: Each lookup waits until its deadline at an owner that does not answer
    Given an entry at a third process, whose table names a silent owner first
    When a lookup has waited at the owner until its deadline
    Then the next lookup is sent to the successor

  Scenario: Lookups return to a silent owner although its successor answers them
    Given an entry at a third process, whose table names a silent owner first
    When the successor has answered the lookup after one that the owner did not answer
    Then a lookup long after it is sent to the successor
