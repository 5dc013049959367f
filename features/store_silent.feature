Feature: Processes follow the operators although connections to the store fall silent

  A connection may stay open and deliver nothing any more, without a reset. Watches on
  it would miss a confirmed configuration until they time out.

  Scenario: All open connections to the store fall silent before a configuration is written
    Given a deployment of 6 VMs
    When 3 seconds pass
    And all open connections to the store fall silent
    Then the operator's next configuration is in force everywhere within 3.5 seconds

  Scenario: All open connections to the store fall silent before a zone is taken out
    Given a deployment of 6 VMs
    When 3 seconds pass
    And all open connections to the store fall silent
    And the operator takes perth-a out of service
    Then all processes know within 4.5 seconds that only perth-a is out

  Scenario: The first reader of each zone stops after all open connections fell silent
    Given a deployment of 4 VMs
    When 3 seconds pass
    And all open connections to the store fall silent
    And 3 seconds pass
    And the first reader of each zone stops
    Then the operator's next configuration is in force everywhere within 2.0 seconds

  Scenario: The first reader of each zone stops as all open connections fall silent
    Given a deployment of 4 VMs
    When 3 seconds pass
    And all open connections to the store fall silent
    And the first reader of each zone stops
    And 1 seconds pass
    Then the operator's next configuration is in force everywhere within 2.0 seconds

  Scenario: The second reader of each zone learns that open connections fell silent
    Given a deployment of 6 VMs
    When 3 seconds pass
    And all open connections to the store fall silent
    And 3 seconds pass
    Then all four readers have asked anew for the operators' changes

  Scenario: Connections to the store fall silent just after the only reader began to watch
    Given a deployment of 1 VMs
    When 1 seconds pass
    And all open connections to the store fall silent as a watch of the configuration begins
    Then the operator's next configuration is in force everywhere within 1.7 seconds

  Scenario: A store that is slow is not taken for one whose connections are silent
    Given a deployment of 2 VMs
    When 1 seconds pass
    And each answer of the store takes 0.6 seconds for 6 seconds
    Then no process has renewed its watches

  Scenario: Each answer of the store takes longer than calls usually wait
    Given a deployment of 2 VMs
    When each answer of the store takes 0.5 seconds, and a VM starts that reaches no other
    Then it is ready within 4.0 seconds
