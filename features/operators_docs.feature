Feature: The operators' pages keep up with the code

  Scenario: The page on settings has every setting and every code
    Then the tables of the settings page are those of the types
    And the settings page explains every code of a problem

  Scenario: The page on operating has every command, exit code and alarm
    Then the operating page lists every command and every option of it
    And the operating page explains every exit code by number and name
    And the operating page explains every alarm
