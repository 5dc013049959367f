Feature: Alarms come when a condition lasts, and go with it

  Scenario: Every alarm comes after its time and goes at once
    Then each alarm is raised exactly while its condition has held for long enough

  Scenario: A healthy process raises no alarm
    Then no alarm is raised by a healthy process at any time

  Scenario: Operators' orders never go back
    Then operators' orders in force are those of the highest readable version
