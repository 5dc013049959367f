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

  Scenario: Each answer of the store takes longer than calls usually wait
    Given a deployment of 2 VMs
    When each answer of the store takes 0.5 seconds, and a VM starts that reaches no other
    Then it is ready within 4.0 seconds
