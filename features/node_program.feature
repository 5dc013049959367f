Feature: The program beside an upstream outlives the signals that it may get

  Scenario: SIGHUP while a process loads its modules ends it
    When a process without settings gets SIGHUP while it loads its modules
    Then it goes on and exits as its settings are missing

  Scenario: A process that was paused does not log why it was silent
    Given a VM whose process is a program
    When the process is paused for 1 second
    Then its log has one event loop that was late by about 1 second
