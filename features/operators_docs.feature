Feature: The operators' documentation matches the code

  Scenario: The settings page lists every setting and every problem code
    Then the tables of the settings page match the settings types
    And the settings page explains every problem code

  Scenario: The operating page lists every command, exit code and alarm
    Then the operating page lists every command with its options
    And the operating page explains every exit code by number and name
    And the operating page explains every alarm
