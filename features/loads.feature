Feature: Load reports and hot keys

  Scenario: A lone or stale load report is not believed
    Given a load book
    Then the load book believes box-office-1 after 3 reports a second apart
    But the load book does not believe box-office-1 after 2 reports a second apart
    And the load book does not believe box-office-1 9 seconds after its last report

  Scenario: A late report does not replace a newer one
    Given a load book
    When the load book hears load 4.0 aged 0 s and then load 9.0 aged 5 s
    Then the load book estimates 4.0

  Scenario: A straggler is known by its service time against the others'
    Given a load book
    When 3 members report 0.05 s per request and box-office-4 reports 0.50 s
    Then the load book calls box-office-4 a straggler and nobody else

  Scenario: The hot key sketch stays in its bounds on any stream
    Then the hot key sketch keeps its error and memory bounds in 60 drawn streams
