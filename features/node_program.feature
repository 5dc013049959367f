Feature: The program beside an upstream outlives the signals that it may get

  Scenario: SIGHUP while a process loads its modules ends it
    When a process without settings gets SIGHUP while it loads its modules
    Then it goes on and exits as its settings are missing
