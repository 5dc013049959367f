Feature: Load reports and hot keys

  Scenario: Too few or too old load reports are not reliable
    Given no load estimates
    Then the load of box-office-1 is reliable after 3 reports a second apart
    But the load of box-office-1 is not reliable after 2 reports a second apart
    And the load of box-office-1 is not reliable 9 seconds after its last report

  Scenario: A delayed report does not replace a newer one
    Given no load estimates
    When a report of load 4.0 aged 0 s is followed by one of load 9.0 aged 5 s
    Then the estimated load is 4.0

  Scenario: A straggler is detected by its service time relative to the others
    Given no load estimates
    When 3 members report 0.05 s per request and box-office-4 reports 0.50 s
    Then box-office-4 alone is a straggler

  Scenario: The hot key sketch stays within its bounds on any stream
    Then the hot key sketch keeps its error and memory bounds in 60 random streams
