Feature: Alarms are raised while a condition lasts

  Scenario: An alarm is raised after its hold time and clears with its condition
    Then each alarm is raised exactly while its condition has held for its hold time

  Scenario: A healthy process raises no alarm
    Then no alarm is raised by a healthy process at any time

  Scenario: Operators' orders are not replaced by older or malformed ones
    Then operators' orders in force are those of the highest readable version
