Feature: The platform client reports whether a write took effect

  Background:
    Given a stand-in platform and a client of it

  Scenario: Of concurrent conditional updates exactly one succeeds
    When two operators write the same object from the same version
    Then one write succeeds and the other is a conflict

  Scenario: A write whose response was lost is identified by its change id
    When the response to a write is lost after the write took effect
    Then the client reports that its write took effect

  Scenario: An outage is reported and loses no earlier write
    When the platform is down during a write and recovers
    Then the write during the outage is reported as unavailable
    And the earlier write is still there

  Scenario: A watch returns changes and waits while there are none
    When an object changes while a client watches
    Then the watch delivers the change with its version

  Scenario: A process watches objects in force but not the configuration history
    When a process watches a platform that keeps old configurations
    Then it receives every object in force but no history, in one call at a time

  Scenario: The call budget limits the rate of calls
    Then a call budget never allows more calls than its rate and burst
