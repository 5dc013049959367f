Feature: The platform's client tells what a write did

  Background:
    Given a stand-in platform and a client of it

  Scenario: Conditional updates keep one winner
    When two operators write the same object from the same version
    Then one write wins and the other is a conflict

  Scenario: A lost answer is read back by its change id
    When the answer to a write is lost after the write took effect
    Then the client learns that its write took effect

  Scenario: An outage is said so and loses nothing
    When the platform is out while a client writes and comes back
    Then the write in the outage is reported as unavailable
    And what was written before is still there

  Scenario: A watch tells of changes and waits while there are none
    When an object changes while a client watches
    Then the watch delivers the change with its version

  Scenario: A process follows what is in force and not the history
    When a process follows a platform that keeps old configurations
    Then it learns all that is in force in one call at a time and no history

  Scenario: The call budget bounds the rate of calls
    Then a call budget never lets more calls through than its rate and burst
