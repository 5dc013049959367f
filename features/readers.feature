Feature: Two processes of each zone watch the store for the others

  Scenario: The readers are the first reachable processes whose store calls succeed
    Given the processes a, b, c and d of a zone
    Then the readers are a and b
    When b is unreachable
    Then the readers are a and c
    When the store rejects the calls of a
    Then the readers are c and d
    When the store rejects the calls of all
    Then the readers are a and c

  Scenario: Only the readers watch, and all processes learn of a change at once
    Given a deployment of 8 VMs
    When 3 seconds pass
    Then the operator's next configuration is in force everywhere within 0.5 seconds
    And it cost at most 6 watches

  Scenario: Another process reads when the store rejects both readers
    Given a deployment of 8 VMs
    When 3 seconds pass
    And the store rejects the readers of perth-a
    Then the operator's next configuration is in force everywhere within 2.0 seconds

  Scenario: A process that missed a change fetches all objects of the kind
    Given a deployment of 8 VMs
    When 3 seconds pass
    And a process of perth-a misses the change that takes perth-b out
    And the operator takes perth-a out of service
    Then all processes know within 0.5 seconds that perth-a and perth-b are out

  Scenario: A zone is taken out while the store drops its history
    Given a deployment of 8 VMs
    When 3 seconds pass
    And the operator takes perth-c and perth-b out and the store drops its history
    Then all processes know within 0.4 seconds that perth-b and perth-c are out

  Scenario: A message does not claim changes that its sender learned from another reader
    Given a reader that has sent all changes up to revision 100
    When its watch returns nothing up to revision 120
    Then its next message, up to revision 130, begins at revision 100
    When another reader brings it from revision 130 to 150
    Then its next message, up to revision 160, begins at revision 150

  Scenario: A configuration too large for a reader to send is read from the store
    Given a deployment of 8 VMs
    When 3 seconds pass
    Then the operator's next configuration with 300 routes is in force everywhere within 1.5 seconds
